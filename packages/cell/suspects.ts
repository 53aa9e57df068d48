import {
  MAX_CRASH_DELAY_MS,
  PROBATION_MS,
  SUSPECT_WINDOW_MS,
} from "./constants.ts";
import type { CellState } from "./state.ts";
import {
  type Endpoint,
  type EndpointContact,
  type EndpointListing,
  type Run,
  RunPhase,
} from "./types.ts";

/** A run that was sent shortly before its endpoint crashed. */
export interface SuspectRun {
  task: string;
  run: number;
  /**
   * The endpoint showed no sign of life later than `MAX_CRASH_DELAY_MS` after the start,
   * and was in contact until then.
   */
  isRightBefore: boolean;
}

/** Makes the contact of an endpoint that has not answered yet. */
export function makeContact(): EndpointContact {
  return { lastSignAt: 0, lostAt: 0, lapsedRuns: [], endedBornAt: 0 };
}

/** Notes that an endpoint answered with this listing, unless it is outdated. */
export function noteContact(
  endpoint: Endpoint,
  { listing, now }: { listing: EndpointListing; now: number },
): void {
  const isApplied = listing.bornAt === endpoint.bornAt &&
    listing.clockMs === endpoint.lastListingClock;
  if (!isApplied) return;
  const { contact } = endpoint;
  contact.lastSignAt = now;
  contact.lostAt = 0;
  contact.lapsedRuns = [];
  contact.endedBornAt = 0;
}

/**
 * Notes that a poll failed. `isBroken`: a connection on which the endpoint was
 * waiting broke, so that the endpoint was alive until now; otherwise it may have
 * been gone since its last answer.
 */
export function noteContactLost(
  endpoint: Endpoint,
  { now, isBroken }: { now: number; isBroken: boolean },
): void {
  const { contact } = endpoint;
  if (contact.lostAt > 0) return;
  contact.lostAt = now;
  if (isBroken) contact.lastSignAt = now;
}

/**
 * Returns whether an endpoint was about to leave or to go down for upkeep: the end
 * of its lifetime is then no crash.
 */
export function isLeaving({ info, isCordoned }: Endpoint): boolean {
  return info.isDraining || isCordoned;
}

/**
 * Lists the runs that may have crashed an endpoint: those that were sent between
 * shortly before its last sign of life and shortly after contact was lost. A run on
 * probation stays a suspect until the probation ends. Load: of the many runs on an
 * endpoint, few have just started.
 */
export function listSuspectRuns(state: CellState, endpoint: Endpoint): Run[] {
  const runs = [...endpoint.runs.values(), ...endpoint.contact.lapsedRuns];
  const lastSignAt = findLastSign(endpoint);
  const { lostAt } = endpoint.contact;
  const lastAt = lostAt > 0
    ? lostAt + SUSPECT_WINDOW_MS
    : Number.POSITIVE_INFINITY;
  return runs.filter(({ task, sentAt, sentToBornAt }) => {
    if (sentAt === undefined || sentToBornAt !== endpoint.bornAt) return false;
    const windowMs = state.suspects.has(task)
      ? PROBATION_MS
      : SUSPECT_WINDOW_MS;
    return sentAt >= lastSignAt - windowMs && sentAt <= lastAt;
  });
}

/** Finds when an endpoint was last known to be alive; 0: never. */
export function findLastSign({ contact, runs }: Endpoint): number {
  let { lastSignAt } = contact;
  // After its connection broke, answers may arrive that were sent before.
  if (lastSignAt > 0 && lastSignAt === contact.lostAt) return lastSignAt;
  for (const list of [runs.values(), contact.lapsedRuns]) {
    for (const { phase, lastChangedAt } of list) {
      // The endpoint answered the start, or listed the run.
      if (phase !== RunPhase.Running) continue;
      lastSignAt = Math.max(lastSignAt, lastChangedAt);
    }
  }
  return lastSignAt;
}

/** Describes the runs that may have crashed their endpoint. */
export function describeSuspects(
  endpoint: Endpoint,
  runs: readonly Run[],
): SuspectRun[] {
  const { lostAt } = endpoint.contact;
  const lastSignAt = findLastSign(endpoint);
  return runs.map(({ task, number, sentAt = 0 }) => ({
    task,
    run: number,
    isRightBefore: lastSignAt <= sentAt + MAX_CRASH_DELAY_MS &&
      (lostAt === 0 || sentAt <= lostAt),
  }));
}

/** Returns whether the endpoint has answered and run the task after its probation. */
export function hasOutlivedProbation(run: Run): boolean {
  const { contact } = run.endpoint;
  const startedAt = run.sentAt ?? run.startedAt;
  return run.phase === RunPhase.Running && run.isLifetimeKnown &&
    contact.lostAt === 0 && contact.lastSignAt >= startedAt + PROBATION_MS;
}
