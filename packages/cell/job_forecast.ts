import { getCapacityDemand, type JobSpec } from "../jobs/mod.ts";
import { predictShape } from "./predicted_ends.ts";
import type { PlacedTasks } from "./room_curve.ts";
import { estimateAdvice, estimateShare, LATE_LEVEL } from "./room_demand.ts";
import {
  addToLevel,
  getQuotaLevels,
  noteWaiting,
  type RoomForecast,
} from "./room_forecast.ts";
import { computeObjective } from "./stages.ts";
import type { CellState } from "./state.ts";

/** Unit in which the work of refused jobs is placed, in thousandths of a core. */
const AHEAD_UNIT = 1_000;

/** When a job is predicted to start and to finish, in ms from now; infinite: never. */
export interface JobForecast {
  /** When the room of its first step is there. */
  startMs: number;
  finishMs: number;
  /** All tasks of its first steps find room as soon as advice is there. */
  startsAtOnce: boolean;
}

/** Work of refused jobs that return about now, which goes before a newcomer. */
export interface WorkAhead {
  milliCores: number;
  durationMs: number;
}

/** What a job is predicted from. */
export interface JobForecastOptions {
  forecast: RoomForecast;
  level: number;
  now: number;
  ahead: WorkAhead | undefined;
}

/**
 * Predicts when a new job starts and finishes. A job that would wait until it is late is
 * served after work in time, so that all late work of its priority is ahead of it too.
 */
export function predictJob(
  state: CellState,
  spec: JobSpec,
  options: JobForecastOptions,
): JobForecast {
  const predicted = predictAtLevel(state, spec, options);
  if (predicted.startMs <= computeObjective(spec)) return predicted;
  const { level } = options;
  return predictAtLevel(state, spec, { ...options, level: level + LATE_LEVEL });
}

/** Predicts when a new job starts and finishes, behind all waiting work of a level. */
function predictAtLevel(
  state: CellState,
  spec: JobSpec,
  options: JobForecastOptions,
): JobForecast {
  const { forecast, level, now, ahead } = options;
  const pools = [forecast.levels.getCurve(level).copy()];
  const quota = getQuotaLevels(state, spec, options);
  if (ahead) {
    const { milliCores, durationMs } = ahead;
    pools[0].addTasks({
      tasks: Math.ceil(milliCores / AHEAD_UNIT),
      milliCores: AHEAD_UNIT,
      durationMs,
      isGang: false,
      share: 1,
      fromMs: 0,
    });
  }
  if (quota) pools.push(quota.getCurve(level).copy());
  const adviceWaitMs = predictAdviceWait(state, forecast, { level });
  const elapsedMs = now - forecast.madeAt;
  const finishMs: number[] = [];
  let startMs = 0;
  let startsAtOnce = true;
  for (const [index, step] of spec.steps.entries()) {
    const adviceMs = estimateAdvice(state, spec, step);
    const isFirst = step.after.length === 0;
    const readyMs = Math.max(
      elapsedMs,
      ...step.after.map((earlier) => finishMs[earlier] ?? 0),
    ) + adviceMs + (isFirst && adviceMs > 0 ? adviceWaitMs : 0);
    const durationMs = predictShape(state, { job: { spec }, step: index }, {
      now,
    });
    const { milliCores } = getCapacityDemand(step);
    const share = estimateShare(state, spec, { step, forecast });
    const starts = pools.map((curve, pool) =>
      curve.addTasks({
        tasks: step.tasks,
        milliCores: pool === 0 ? milliCores : step.demand.milliCores,
        durationMs,
        isGang: step.gang,
        share: pool === 0 ? share : 1,
        fromMs: readyMs,
      })
    );
    const lastMs = Math.max(...starts.map((start) => start.lastMs));
    if (isFirst && (lastMs > readyMs || adviceWaitMs > adviceMs)) {
      startsAtOnce = false;
    }
    if (index === 0) {
      startMs = Math.max(...starts.map(({ firstMs }) => firstMs)) - adviceMs;
    }
    finishMs.push(lastMs + durationMs);
  }
  return {
    startMs: Math.max(0, startMs - elapsedMs),
    finishMs: Math.max(...finishMs) - elapsedMs,
    startsAtOnce,
  };
}

/** Adds the steps of an accepted job that depend on no other step to the forecast. */
export function addAccepted(
  state: CellState,
  spec: JobSpec,
  options: { forecast: RoomForecast; level: number; now: number },
): void {
  const { forecast, level, now } = options;
  for (const [index, step] of spec.steps.entries()) {
    const { milliCores } = getCapacityDemand(step);
    if (step.after.length > 0 || milliCores <= 0) continue;
    const adviceMs = estimateAdvice(state, spec, step);
    const tasks: PlacedTasks = {
      tasks: step.tasks,
      milliCores,
      durationMs: step.longRunning
        ? Number.POSITIVE_INFINITY
        : predictShape(state, { job: { spec }, step: index }, { now }),
      isGang: step.gang,
      share: estimateShare(state, spec, { step, forecast }),
      fromMs: now - forecast.madeAt + adviceMs,
    };
    forecast.levels.addTasks({ level, tasks });
    noteWaiting(forecast, spec, { step, tasks: step.tasks });
    const quota = forecast.quotas.get(spec.organisation);
    quota?.addTasks({ level, tasks: { ...tasks, share: 1 } });
    addToLevel(forecast.adviceMs, level, { amount: adviceMs });
  }
}

/** Predicts how long the first advice call of a job waits for calls before it, in ms. */
function predictAdviceWait(
  state: CellState,
  forecast: RoomForecast,
  { level }: { level: number },
): number {
  let aheadMs = 0;
  for (const [aheadLevel, adviceMs] of forecast.adviceMs) {
    if (aheadLevel <= level) aheadMs += adviceMs;
  }
  const { adviceBacklogsMs } = state;
  return Math.min(...adviceBacklogsMs) + aheadMs / adviceBacklogsMs.length;
}
