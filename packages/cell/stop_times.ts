import type { CellState } from "./state.ts";
import type { Run } from "./types.ts";

/** Duration of a stop before enough were observed, in ms: the longest that is known. */
const ASSUMED_STOP_MS = 900;

/** Fewest observations on which the estimate relies. */
const MIN_STOPS = 5;

/** Number of observations that are kept. */
const MAX_STOPS = 50;

/** Share of the stops that take at most the estimated time. */
const COVERED_SHARE = 0.9;

/** How long stops take, from the order to the release of the room. */
export interface StopTimes {
  /** When the stops in progress were first seen. */
  orderedAt: Map<Run, number>;
  /** Durations of the last stops, in milliseconds. */
  durationsMs: number[];
}

/** Makes empty stop times. */
export function makeStopTimes(): StopTimes {
  return { orderedAt: new Map(), durationsMs: [] };
}

/** Observes which stops have been ordered and which have ended since the last plan. */
export function observeStops(state: CellState, now: number): void {
  const { orderedAt, durationsMs } = state.placement.stopTimes;
  for (const [run, at] of orderedAt) {
    if (state.stoppingRuns.has(run)) continue;
    orderedAt.delete(run);
    durationsMs.push(now - at);
    if (durationsMs.length > MAX_STOPS) durationsMs.shift();
  }
  for (const run of state.stoppingRuns) {
    if (!orderedAt.has(run)) orderedAt.set(run, now);
  }
}

/** Estimates how long a stop takes until the room is free, in milliseconds. */
export function estimateStopMs(state: CellState): number {
  const { durationsMs } = state.placement.stopTimes;
  if (durationsMs.length < MIN_STOPS) return ASSUMED_STOP_MS;
  const sorted = [...durationsMs].sort((a, b) => a - b);
  return sorted[Math.ceil(sorted.length * COVERED_SHARE) - 1];
}
