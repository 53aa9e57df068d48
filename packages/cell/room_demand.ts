import {
  countFits,
  getCapacityDemand,
  type JobSpec,
  makeZeroDemand,
  type StepSpec,
} from "../jobs/mod.ts";
import { estimateAllowedShare } from "./advice_choice.ts";
import {
  ADVICE_ROOM_FACTOR,
  MAX_ADVICE_ENDPOINTS,
  USUAL_ENDPOINTS_ASKED,
} from "./constants.ts";
import { getStageRatio } from "./dominant_shares.ts";
import { SharesName } from "./policies.ts";
import type { PlacedTasks } from "./room_curve.ts";
import type { RoomForecast } from "./room_forecast.ts";
import type { LevelTasks } from "./room_levels.ts";
import { getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import type { Stage } from "./types.ts";

/** Least share of the room that a step can use, so that no division overflows. */
const MIN_SHARE = 0.01;

/** Added to the level of work in time to get that of late work. */
export const LATE_LEVEL = 1;

/** Number of levels for work beyond its share, so that the forecast has few curves. */
const SHARE_STEPS = 10;

/** Lists the ready stages with waiting tasks whose results still have value. */
export function listWaiting(
  state: CellState,
  { now }: { now: number },
): Stage[] {
  return [...state.ready].filter((stage) =>
    stage.waitingTasks > 0 && !stage.job.outcome && now <= stage.expiresAt
  );
}

/**
 * Computes the level of work in the order in which it is served. Work of the same level
 * is served by its deadline, so that all of it goes before a new job. `ratio`: its
 * organisation's share divided by the one that is granted; 0: within it.
 */
export function computeLevel(
  state: CellState,
  work: { priority: number; ratio: number; isLate: boolean },
): number {
  const { priority, ratio } = work;
  const isBeyond = ratio >= 1;
  const late = work.isLate ? LATE_LEVEL : 0;
  // Shares by admission put all work within its share first, whatever its priority.
  if (state.policies.names.shares !== SharesName.Dominant) {
    return (isBeyond ? 1e9 : 0) + priority * 2 + late;
  }
  if (!isBeyond) return priority * 4 + late;
  // Beyond the share, the smallest one goes first, late or not.
  const step = Math.floor((1 - 1 / ratio) * SHARE_STEPS) / SHARE_STEPS;
  return priority * 4 + 2 + step;
}

/** Computes the level of a waiting stage. */
export function computeStageLevel(
  state: CellState,
  stage: Stage,
  { now }: { now: number },
): number {
  return computeLevel(state, {
    priority: stage.job.spec.queue.priority,
    ratio: getStageRatio(state, stage),
    isLate: now > stage.dueAt && !getStep(stage).longRunning,
  });
}

/**
 * Describes waiting work, the lowest level first. Gangs are placed one by one; other
 * stages of one queue and level together, so that the cost does not grow with them.
 */
export function describeBacklog(
  state: CellState,
  stages: readonly Stage[],
  { forecast, now }: { forecast: RoomForecast; now: number },
): LevelTasks[] {
  const backlog: LevelTasks[] = [];
  const groups = new Map<string, LevelTasks & { work: number }>();
  for (const stage of stages) {
    const step = getStep(stage);
    const { milliCores } = getCapacityDemand(step);
    if (milliCores <= 0) continue;
    const level = computeStageLevel(state, stage, { now });
    const tasks: PlacedTasks = {
      tasks: stage.waitingTasks,
      milliCores,
      durationMs: step.longRunning
        ? Number.POSITIVE_INFINITY
        : state.admission.ends.predictTask(state, stage, { now }),
      isGang: step.gang,
      share: estimateShare(state, stage.job.spec, { step, forecast }),
      fromMs: 0,
    };
    if (step.gang || step.longRunning) {
      backlog.push({ level, tasks });
      continue;
    }
    const key = `${level} ${stage.job.spec.queue.name} ${milliCores}`;
    const work = tasks.tasks * tasks.durationMs;
    const group = groups.get(key);
    if (group) {
      group.tasks.tasks += tasks.tasks;
      group.work += work;
      // Different steps of a queue are allowed on different endpoints.
      group.tasks.share = 1;
    } else groups.set(key, { level, tasks, work });
  }
  for (const { level, tasks, work } of groups.values()) {
    backlog.push({
      level,
      tasks: { ...tasks, durationMs: work / tasks.tasks },
    });
  }
  return backlog.sort((a, b) => a.level - b.level);
}

/**
 * Estimates which share of the free room a step can use: that of the endpoints which the
 * policy service allows, less what its tasks cannot fill on each endpoint.
 */
export function estimateShare(
  state: CellState,
  { queue }: JobSpec,
  { step, forecast }: { step: StepSpec; forecast: RoomForecast },
): number {
  const demand = getCapacityDemand(step);
  let fillable = 0;
  for (const { endpoint: { fullRoom, info }, count } of forecast.groups) {
    const { requiredLabel } = step;
    if (requiredLabel !== "" && !info.labels.includes(requiredLabel)) continue;
    const fitting = countFits(demand, fullRoom, makeZeroDemand());
    const slots = step.maxPerEndpoint > 0
      ? Math.min(fitting, step.maxPerEndpoint)
      : fitting;
    fillable += count *
      Math.min(fullRoom.milliCores, slots * demand.milliCores);
  }
  const allowed = queue.advice ? estimateAllowedShare(state, queue.name) : 1;
  const share = allowed * fillable / Math.max(1, forecast.milliCores);
  return Math.min(1, Math.max(MIN_SHARE, share));
}

/** Estimates the duration of one advice call for a step, in milliseconds; 0: none. */
export function estimateAdvice(
  state: CellState,
  { queue }: JobSpec,
  step: StepSpec,
): number {
  const { advice } = queue;
  if (!advice) return 0;
  const share = estimateAllowedShare(state, queue.name);
  const wanted = step.tasks * ADVICE_ROOM_FACTOR / share;
  const named = Math.min(
    MAX_ADVICE_ENDPOINTS,
    state.endpoints.size,
    Math.max(USUAL_ENDPOINTS_ASKED, wanted),
  );
  return advice.decideMs + advice.perEndpointMs * named;
}
