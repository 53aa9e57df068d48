import { describeShape } from "./run_shape.ts";
import { findTask, getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import { type Run, RunPhase, type Stage } from "./types.ts";

/** Predictions count as current for this time, in ms, so that a plan makes few. */
const PREDICTION_AGE_MS = 500;

/** Predicted time until a run that is being stopped has ended, in milliseconds. */
const STOP_MS = 500;

/**
 * Least remaining time of a run that is beyond its prediction, as a fraction of the time
 * it has run for. Without it, room that is in use would count as free.
 */
const MIN_REST_FRACTION = 0.1;

/** Quantile of the predicted run times: half of the runs take longer. */
const MEDIAN = 0.5;

interface RunPrediction {
  madeAt: number;
  endsAt: number;
  /** Stage of the run; undefined: its job is not known. */
  stage: Stage | undefined;
}

interface TaskPrediction {
  madeAt: number;
  durationMs: number;
}

/** Predicted ends of runs and run times of waiting tasks, kept for a while. */
export class PredictedEnds {
  readonly #runs = new WeakMap<Run, RunPrediction>();
  readonly #stages = new WeakMap<Stage, TaskPrediction>();

  /** Predicts how long a run still takes, in ms; infinite for long-running tasks. */
  predictRest(state: CellState, run: Run, { now }: { now: number }): number {
    if (run.phase === RunPhase.Stopping) return STOP_MS;
    const known = this.#runs.get(run);
    const isCurrent = known && now - known.madeAt < PREDICTION_AGE_MS &&
      known.endsAt > now;
    if (isCurrent) return known.endsAt - now;
    const stage = known?.stage ?? findTask(state, run.task)?.stage;
    const restMs = computeRest(state, run, { stage, now });
    this.#runs.set(run, { madeAt: now, endsAt: now + restMs, stage });
    return restMs;
  }

  /** Predicts the run time of a waiting stage's tasks, in milliseconds. */
  predictTask(
    state: CellState,
    stage: Stage,
    { now }: { now: number },
  ): number {
    const known = this.#stages.get(stage);
    if (known && now - known.madeAt < PREDICTION_AGE_MS) {
      return known.durationMs;
    }
    const durationMs = predictShape(state, stage, { now });
    this.#stages.set(stage, { madeAt: now, durationMs });
    return durationMs;
  }
}

/** Predicts the run time of a task of a step, in milliseconds. */
export function predictShape(
  state: CellState,
  stage: Parameters<typeof describeShape>[0],
  { now }: { now: number },
): number {
  const shape = describeShape(stage);
  const options = { quantile: MEDIAN, speed: 1, now };
  const predictedMs = state.runTimes.predict(shape, options);
  return Math.max(1, chooseFinite(predictedMs, shape.estimateMs));
}

function computeRest(
  state: CellState,
  run: Run,
  { stage, now }: { stage: Stage | undefined; now: number },
): number {
  // Nothing is known of the run: its lease bounds it if it has no task any more.
  if (!stage) return state.leaseMs;
  if (getStep(stage).longRunning) return Number.POSITIVE_INFINITY;
  const elapsedMs = Math.max(0, now - run.startedAt);
  const speed = state.runTimes.getSpeed(run.endpoint.info.id, now);
  const shape = describeShape(stage);
  const options = { quantile: MEDIAN, speed, now, elapsedMs };
  const restMs = state.runTimes.predictRest(shape, options);
  return Math.max(
    chooseFinite(restMs, shape.estimateMs - elapsedMs),
    elapsedMs * MIN_REST_FRACTION,
  );
}

/**
 * Returns a prediction, or the caller's estimate if the model gives no finite number: a
 * run whose end is NaN would free its room at once, an endless task would never do so.
 */
function chooseFinite(predictedMs: number, estimatedMs: number): number {
  return Number.isFinite(predictedMs) ? predictedMs : estimatedMs;
}
