import type { Random, Size } from "../base/mod.ts";
import type { OwnerCandidate, OwnerRequest } from "./types.ts";

/**
 * Chooses the owner for a task among those that can start it now: first this
 * entry, then its failure domain, then other domains. If no owner can start the
 * task now, owners of this entry's domain still come before those of others.
 * Among several, the less loaded of two random candidates is taken, so that
 * entries with the same stale loads do not all choose the same owner.
 */
export function chooseOwner(
  candidates: readonly OwnerCandidate[],
  request: OwnerRequest,
  options: { domain: string; random: Random },
): OwnerCandidate | undefined {
  const eligible = candidates.filter((owner) => isEligible(owner, request));
  const isLocal = (owner: OwnerCandidate) => owner.domain === options.domain;
  const localOwners = eligible.filter(isLocal);
  const remoteOwners = eligible.filter((owner) => !isLocal(owner));
  const canStart = (owner: OwnerCandidate) => canStartTask(owner, request.team);
  const localStartable = localOwners.filter(canStart);
  const self = localStartable.find((owner) => owner.isSelf);
  if (self) return self;
  const pick = (owners: OwnerCandidate[]) =>
    pickLessLoaded(owners, options.random);
  return pick(localStartable) ?? pick(remoteOwners.filter(canStart)) ??
    pick(localOwners) ??
    pick(remoteOwners);
}

function isEligible(owner: OwnerCandidate, request: OwnerRequest): boolean {
  if (owner.draining || request.excluded.has(owner.incarnation)) return false;
  return owner.load.endpoints > 0 && covers(owner.load.largest, request.size);
}

function covers(largest: Size, size: Size): boolean {
  return size.cores <= largest.cores && size.memoryMb <= largest.memoryMb &&
    size.accelerators <= largest.accelerators;
}

/**
 * Returns whether an owner can start a task now. Work of a blocked team waits
 * for a grant, so free slots are of no use to that team.
 */
function canStartTask(owner: OwnerCandidate, team: string): boolean {
  return owner.load.freeSlots > 0 && !owner.load.blocked.includes(team);
}

function pickLessLoaded(
  owners: OwnerCandidate[],
  random: Random,
): OwnerCandidate | undefined {
  if (owners.length === 0) return undefined;
  const first = owners[random.drawInt(owners.length)];
  const second = owners[random.drawInt(owners.length)];
  return measureUtilisation(second) < measureUtilisation(first)
    ? second
    : first;
}

/** Returns used slots plus waiting tasks, divided by the slots. */
function measureUtilisation(owner: OwnerCandidate): number {
  const { slots, freeSlots, waiting } = owner.load;
  return (slots - freeSlots + waiting) / Math.max(1, slots);
}
