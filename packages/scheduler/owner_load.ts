import { type Cell, WaitMonitor, type WaitReport } from "../cell/mod.ts";

/** Kinds of events of an owner that are counted and timed. */
export enum LoadKind {
  /** A plan of all waiting stages. Time: spent by this process. */
  Plan = "plan",
  /** The decision about a submission. Time: spent by this process. */
  Submission = "submission",
  /** An endpoint's listing that was applied. Time: spent by this process. */
  Listing = "listing",
  /** A start order that was answered. Time: until its answer was handled. */
  StartAnswered = "startAnswered",
  /** A start order that timed out. Time: until that was noticed. */
  StartUnanswered = "startUnanswered",
  /** A poll without an answer. Time: until that was noticed. */
  PollUnanswered = "pollUnanswered",
  /** A commit of the journal. Time: until its answer was handled. */
  Commit = "commit",
  /** A tick of the owner's loop. Time: by which it was late. */
  Tick = "tick",
}

/** Number and times of the events of one kind, in milliseconds. */
interface LoadTotal {
  count: number;
  totalMs: number;
  maxMs: number;
}

/** Time that one report covers, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** What an owner was busy with, for the log. */
export type OwnerLoadReport = Record<string, number | WaitReport["stages"]>;

/**
 * Counts and times what an owner does, and reports it once a second: it shows which work
 * makes an owner late, and which of its answers were late with it.
 */
export class OwnerLoad {
  readonly #totals = new Map<LoadKind, LoadTotal>();
  readonly #waitMonitor = new WaitMonitor();
  #reportedAt: number | undefined;
  /** What waited at the last report; undefined: there was none. */
  waits: WaitReport | undefined;

  /** Adds an event; see `LoadKind` for the meaning of the time, in milliseconds. */
  note(kind: LoadKind, ms: number): void {
    const total = this.#totals.get(kind) ?? { count: 0, totalMs: 0, maxMs: 0 };
    total.count++;
    total.totalMs += ms;
    total.maxMs = Math.max(total.maxMs, ms);
    this.#totals.set(kind, total);
  }

  /** Returns a report of the events since the last one, if it is due. */
  collectReport(
    state: Cell["state"],
    now: number,
  ): OwnerLoadReport | undefined {
    this.#reportedAt ??= now;
    const elapsedMs = now - this.#reportedAt;
    if (elapsedMs < REPORT_INTERVAL_MS) return undefined;
    const report: OwnerLoadReport = { elapsedMs: Math.round(elapsedMs) };
    for (const [kind, { count, totalMs, maxMs }] of this.#totals) {
      report[kind] = count;
      report[`${kind}Ms`] = Math.round(totalMs);
      report[`${kind}MaxMs`] = Math.round(maxMs);
    }
    this.#totals.clear();
    this.#reportedAt = now;
    this.waits = this.#waitMonitor.observe(state, now);
    return {
      ...report,
      ...describeRoom(state, now),
      usableMilliCores: this.waits.usableMilliCores,
      waitingStages: this.waits.waiting,
      waits: this.waits.stages,
      longestWaitMs: this.waits.longestMs,
    };
  }
}

/** Describes the room of all endpoints, and how many of them are set aside. */
function describeRoom(
  state: Cell["state"],
  now: number,
): Record<string, number> {
  const report = {
    readyStages: state.ready.size,
    freeMilliCores: 0,
    unresponsive: 0,
    paused: 0,
    ejected: 0,
  };
  for (const endpoint of state.endpoints.values()) {
    const { info, used } = endpoint;
    if (!endpoint.isListed || info.isDraining) continue;
    report.freeMilliCores += Math.max(
      0,
      info.capacity.milliCores - used.milliCores,
    );
    if (endpoint.unresponsiveUntil > now) report.unresponsive++;
    const { pausedUntil, lateAckUntil } = endpoint;
    if (Math.max(pausedUntil, lateAckUntil) > now) report.paused++;
    if (endpoint.ejectedUntil > now) report.ejected++;
  }
  return report;
}
