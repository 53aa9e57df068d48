import {
  CAPABLE_FRACTION,
  HANDOVER_AFTER_MS,
  MIN_OWNERSHIP_MS,
  OWNER_LEASE_MS,
  SMALL_VM_CLAIM_DELAY_MS,
} from "./constants.ts";

/** Input of the decision to hand the cell over. */
export interface HandoverView {
  /** Processor speed of the owner's VM, in cores. */
  cores: number;
  /** Processor speed of the largest VM linked to the owner, in cores. */
  largestPeerCores: number;
  /** When the owner had restored the cell, in ms; `undefined`: not yet. */
  readySince: number | undefined;
  /** The owner's loop has been late for most of the last seconds. */
  isOverloaded: boolean;
}

/**
 * Returns whether a VM may own a cell whose largest VM has `largestCores`. VMs
 * of about the same size are equal, so that the cell does not change hands for a
 * small gain.
 */
export function isCapable(cores: number, largestCores: number): boolean {
  return cores >= largestCores * CAPABLE_FRACTION;
}

/**
 * Computes how long an entry waits before it claims a cell without an owner, in
 * milliseconds. Load: hundreds of entries of unlike size lose their owner at the
 * same moment; the capable ones claim first.
 */
export function computeClaimDelay(cores: number, largestCores: number): number {
  return isCapable(cores, largestCores) ? 0 : SMALL_VM_CLAIM_DELAY_MS;
}

/** What an entry knows when the owner's address has refused a connection. */
export interface RefusalView {
  /** When a call to the store failed last, in ms; negative infinity: never. */
  storeFailedAt: number;
  /** The owner is connected to this entry. */
  isOwnerReachable: boolean;
}

/**
 * Returns whether a refused connection shows that the owner's process has ended. Load:
 * a failure domain is cut off by resets. Its entries are refused by the owner and by the
 * store alike, and would claim the cell from a healthy owner once the cut ends. The
 * lease of an owner that did end expires in the time for which the store is distrusted.
 */
export function isProofOfExit(view: RefusalView, now: number): boolean {
  const { storeFailedAt, isOwnerReachable } = view;
  return !isOwnerReachable && now - storeFailedAt > OWNER_LEASE_MS;
}

/** Entries as an owner sees them over its links. */
export interface LinkCounts {
  /** Number of entries that are linked to the owner, and itself. */
  reachable: number;
  /** Number of entries whose links went silent: cut off, frozen or dead. */
  silent: number;
}

/** What an owner knows of the entries that it may be cut off from. */
export interface IsolationView extends LinkCounts {
  /** Number of entries that wrote to the store that they do not reach the owner. */
  answers: number;
  /** Share of the entries that was asked, above 0, up to 1. */
  share: number;
}

/**
 * Returns why the owner should leave the cell to the entries that it does not reach;
 * `undefined` if it should keep it. Load: a failure domain is cut off with the owner in
 * it, and the larger part could serve. Silence alone is no evidence: the entries may be
 * dead or frozen, and then nobody takes the cell.
 */
export function explainIsolation(view: IsolationView): string | undefined {
  const { reachable, silent, answers, share } = view;
  if (answers / share <= reachable) return undefined;
  return `reaches ${reachable}, ${silent} are silent, ` +
    `${answers} that it does not reach answered in the store`;
}

/**
 * Returns why the owner should hand the cell over to a capable entry that is
 * linked to it; `undefined` if it should keep the cell. A new owner keeps the
 * cell for `MIN_OWNERSHIP_MS` even if it is overloaded: taking over is heavy work
 * by itself, and an overload that lies in the load would follow the cell.
 */
export function explainHandover(
  view: HandoverView,
  now: number,
): string | undefined {
  const { cores, largestPeerCores, readySince, isOverloaded } = view;
  if (readySince === undefined) return undefined;
  const ownedMs = now - readySince;
  if (!isCapable(cores, largestPeerCores) && ownedMs >= HANDOVER_AFTER_MS) {
    return `this VM has ${cores} cores, a linked one has ${largestPeerCores}`;
  }
  const hasEqualPeer = isCapable(largestPeerCores, cores);
  return isOverloaded && hasEqualPeer && ownedMs >= MIN_OWNERSHIP_MS
    ? "the loop of this process is late most of the time"
    : undefined;
}
