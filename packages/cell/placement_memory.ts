import type { Preemption } from "./preemption.ts";
import { describeShape } from "./run_shape.ts";
import type { CellState } from "./state.ts";
import { makeStopTimes, type StopTimes } from "./stop_times.ts";
import type { Stage } from "./types.ts";
import type { UrgentUse } from "./urgent_use.ts";

/**
 * Age from which a stage's predicted run time is predicted anew, in ms. A plan sorts
 * hundreds of stages up to fifty times a second; a model changes with each end of a run.
 */
const PREDICTION_AGE_MS = 1_000;

interface Prediction {
  ms: number;
  at: number;
}

/** The headroom of a service as last reserved and as last logged. */
export interface NotedHeadroom {
  milliCores: number;
  loggedMilliCores: number;
  loggedAt: number;
}

/**
 * What placement keeps between plans. A new owner begins with an empty memory: it holds
 * nothing on which correctness depends.
 */
export interface PlacementMemory {
  /** Predicted run times at the usual speed, by quantile. */
  predictions: WeakMap<Stage, Map<number, Prediction>>;
  /** Since when a stage waits for faster endpoints although it fits on slower ones. */
  waitingSince: WeakMap<Stage, number>;
  /** Recent use of each service by urgent work. */
  urgentUse: Map<string, UrgentUse>;
  /** Cores kept free for urgent work at the last plan, in thousandths, by service. */
  headroom: Map<string, NotedHeadroom>;
  /** Room that is being freed for urgent tasks. */
  preemptions: Preemption[];
  stopTimes: StopTimes;
}

/** Makes an empty memory. */
export function makePlacementMemory(): PlacementMemory {
  return {
    predictions: new WeakMap(),
    waitingSince: new WeakMap(),
    urgentUse: new Map(),
    headroom: new Map(),
    preemptions: [],
    stopTimes: makeStopTimes(),
  };
}

/**
 * Predicts the run time of a stage's tasks at the usual speed, in milliseconds, from a
 * prediction that is at most a second old. At speed 2 it is half as long.
 */
export function predictRunMs(
  state: CellState,
  stage: Stage,
  { quantile, now }: { quantile: number; now: number },
): number {
  const { predictions } = state.placement;
  let byQuantile = predictions.get(stage);
  if (!byQuantile) predictions.set(stage, byQuantile = new Map());
  const known = byQuantile.get(quantile);
  if (known && now - known.at < PREDICTION_AGE_MS) return known.ms;
  const options = { quantile, speed: 1, now };
  const ms = state.runTimes.predict(describeShape(stage), options);
  byQuantile.set(quantile, { ms, at: now });
  return ms;
}
