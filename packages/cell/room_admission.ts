import { getCapacityDemand, type JobSpec } from "../jobs/mod.ts";
import { describeShares, getJobRatio } from "./dominant_shares.ts";
import { addAccepted, type JobForecast, predictJob } from "./job_forecast.ts";
import { predictShape } from "./predicted_ends.ts";
import type { RefusedJob, RefusedWork } from "./refused_jobs.ts";
import { computeLevel, LATE_LEVEL } from "./room_demand.ts";
import { buildForecast, type RoomForecast } from "./room_forecast.ts";
import { computeObjective, EXPIRY_FACTOR } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import {
  Admission,
  type AdmissionOutcome,
  DecisionKind,
  type Job,
} from "./types.ts";

/**
 * Age up to which a forecast is used, in milliseconds. Plans follow each other within a
 * few milliseconds under load; a forecast of 245 endpoints with 980 runs took 0.4 ms.
 */
const MAX_FORECAST_AGE_MS = 50;

/**
 * Least fraction of the listed room that a forecast must know of. A new owner that has
 * not reached most endpoints yet refuses nobody for it.
 */
const MIN_KNOWN_FRACTION = 0.5;

/** Longest suggested retry delay, in seconds: the load may have changed by then. */
const MAX_RETRY_S = 30;

/**
 * Part of the time in which a retry is useful that passes before callers come back whose
 * room comes only after it: within and beyond the share of their organisation.
 */
const LATE_ROOM_FRACTION = 0.5;
const LATE_ROOM_OVER_SHARE_FRACTION = 0.75;

/** Returns are spread over this fraction of the time until room is expected. */
const SPREAD_FRACTION = 0.5;

const SECOND_MS = 1_000;

/** The suggested retry, and whether room comes too late for it to be in time. */
interface Retry {
  afterMs: number;
  isRoomLate: boolean;
}

/**
 * Accepts a job if it can finish while its result has value, by the room that becomes
 * free, and refuses it at once otherwise. Load: all-day use near capacity with bursts,
 * where waiting work alone does not show how long a wide gang waits for running work.
 */
export function admitByRoom(
  state: CellState,
  spec: JobSpec,
  options: { isOverShare: boolean; now: number },
): AdmissionOutcome {
  const accepted = { admission: Admission.Accepted, reason: "" };
  const { isOverShare, now } = options;
  const { refused } = state.admission;
  const former = refused.find(spec.id, now);
  const forecast = hasDeadline(spec)
    ? getForecast(state, spec.queue.service, { now })
    : undefined;
  if (!forecast) {
    refused.remove(spec.id);
    return accepted;
  }
  const { priority, name } = spec.queue;
  const level = computeLevel(state, {
    priority,
    ratio: isOverShare ? Math.max(1, getJobRatio(state, spec)) : 0,
    isLate: false,
  });
  const ahead = former
    ? undefined
    : refused.computeWorkAhead(name, { level, now });
  const predicted = predictJob(state, spec, { forecast, level, now, ahead });
  const objectiveMs = computeObjective(spec);
  const isScarce = isQueueScarce(state, spec, { forecast, level, now });
  const limitMs = isScarce ? objectiveMs : objectiveMs * EXPIRY_FACTOR;
  const inputs = {
    startMs: describeTime(predicted.startMs),
    finishMs: describeTime(predicted.finishMs),
    limitMs: Math.round(limitMs),
    isOverShare,
    isScarce,
    freeMilliCores: Math.round(forecast.levels.getCurve(level).getFree(0)),
    milliCores: forecast.milliCores,
    refusals: former?.refusals ?? 0,
  };
  // Room that is free now is refused to nobody: refused callers may not return, and a model
  // that predicts too long run times would refuse all jobs, and learn nothing from them.
  const startsAtOnce = predicted.startsAtOnce || (ahead !== undefined &&
    predictJob(state, spec, { forecast, level, now, ahead: undefined })
      .startsAtOnce);
  if (predicted.finishMs <= limitMs || startsAtOnce) {
    refused.remove(spec.id);
    addAccepted(state, spec, { forecast, level, now });
    const kind = DecisionKind.JobAdmitted;
    addDecision(state, { kind, subject: spec.id, inputs });
    return accepted;
  }
  const retry = chooseRetry(state, spec, {
    predicted,
    isOverShare,
    firstAt: former?.firstAt ?? now,
    now,
  });
  refused.note(spec.id, {
    work: computeRefusedWork(state, spec, { level, now }),
    returnsAt: now + retry.afterMs,
    now,
  });
  addDecision(state, {
    kind: DecisionKind.JobRefused,
    subject: spec.id,
    inputs: { ...inputs, retryAfterMs: retry.afterMs },
  });
  return {
    admission: Admission.Refused,
    reason: explainRefusal(predicted, {
      limitMs,
      isScarce,
      isOverShare,
      retry,
    }),
    retryAfterMs: retry.afterMs,
  };
}

/**
 * Sets the deadline of an accepted job that was refused before, so that it is served
 * before newcomers of its queue: by the time it has waited, but never so early that it
 * would be late from the start.
 */
export function setReturnDueTime(
  job: Job,
  { firstAt }: RefusedJob,
  { now }: { now: number },
): void {
  const objectiveMs = computeObjective(job.spec);
  const leftMs = Math.max(
    computeShortest(job.spec),
    objectiveMs - (now - firstAt),
  );
  job.dueAt = Math.min(job.dueAt, now + leftMs);
  for (const stage of job.stages) {
    stage.dueAt = Math.min(stage.dueAt, job.dueAt);
  }
}

/** Describes refused jobs, forecasts and shares for a dump. */
export function describeAdmission(state: CellState): Record<string, unknown> {
  const { admission } = state;
  return {
    shares: describeShares(state),
    refusedIds: admission.refused.size,
    forecasts: [...admission.forecasts].map(([service, forecast]) => ({
      service,
      milliCores: forecast.milliCores,
      listedMilliCores: forecast.listedMilliCores,
      free: forecast.levels.describe(),
    })),
  };
}

/**
 * Returns whether late work of a queue waits or its refused callers are to return. A job
 * that would be late is then refused: it would be overtaken by jobs in time, or make them
 * late. Load: an overload that lasts; with three times the objective as the limit, nearly
 * all jobs are late.
 */
function isQueueScarce(
  state: CellState,
  { queue }: JobSpec,
  options: { forecast: RoomForecast; level: number; now: number },
): boolean {
  const { forecast, level } = options;
  const lateLevel = forecast.lateLevels.get(queue.name);
  return (lateLevel !== undefined && lateLevel <= level + LATE_LEVEL) ||
    state.admission.refused.hasReturns(queue.name, options);
}

/** Returns whether the result of a job loses its value: not of work that runs long. */
function hasDeadline(spec: JobSpec): boolean {
  return spec.occurrences === 0 &&
    !spec.steps.some(({ longRunning }) => longRunning);
}

/** Returns the forecast of a service; `undefined` while too little is known. */
function getForecast(
  state: CellState,
  service: string,
  { now }: { now: number },
): RoomForecast | undefined {
  if (!state.organisations) return undefined;
  const { forecasts } = state.admission;
  const known = forecasts.get(service);
  const isCurrent = known && now - known.madeAt <= MAX_FORECAST_AGE_MS;
  const forecast = isCurrent ? known : buildForecast(state, service, { now });
  if (!forecast) return undefined;
  forecasts.set(service, forecast);
  const { milliCores, listedMilliCores } = forecast;
  return milliCores >= listedMilliCores * MIN_KNOWN_FRACTION
    ? forecast
    : undefined;
}

/** Computes the shortest time that a job takes by its caller's estimates, in ms. */
function computeShortest(spec: JobSpec): number {
  const { stretch, targetLatencyMs } = spec.queue;
  return (computeObjective(spec) - targetLatencyMs) / Math.max(1, stretch);
}

/**
 * Chooses when the caller comes back: when room is expected, but never past the time at
 * which a retry can still be in time, or be of value if none can be in time.
 */
function chooseRetry(
  state: CellState,
  spec: JobSpec,
  options: {
    predicted: JobForecast;
    isOverShare: boolean;
    firstAt: number;
    now: number;
  },
): Retry {
  const { predicted, isOverShare, firstAt, now } = options;
  const objectiveMs = computeObjective(spec);
  const elapsedMs = now - firstAt + computeShortest(spec);
  const inTimeMs = objectiveMs - elapsedMs;
  const ofValueMs = objectiveMs * EXPIRY_FACTOR - elapsedMs;
  const usefulMs = inTimeMs >= SECOND_MS ? inTimeMs : ofValueMs;
  const latestS = Math.min(
    MAX_RETRY_S,
    Math.max(1, Math.floor(usefulMs / SECOND_MS)),
  );
  const roomS = Math.max(1, Math.ceil(predicted.startMs / SECOND_MS));
  const fraction = isOverShare
    ? LATE_ROOM_OVER_SHARE_FRACTION
    : LATE_ROOM_FRACTION;
  const earliestS = roomS < latestS ? roomS : Math.ceil(latestS * fraction);
  const spreadS = Math.max(1, Math.ceil(earliestS * SPREAD_FRACTION));
  const seconds = state.admission.refused.chooseReturn(spec.queue.name, {
    earliestS,
    latestS: roomS < latestS ? Math.min(latestS, earliestS + spreadS) : latestS,
    now,
  });
  return {
    afterMs: seconds * SECOND_MS,
    isRoomLate: predicted.startMs > Math.max(0, inTimeMs),
  };
}

function computeRefusedWork(
  state: CellState,
  spec: JobSpec,
  { level, now }: { level: number; now: number },
): RefusedWork {
  const total = { queue: spec.queue.name, level, milliCores: 0, work: 0 };
  for (const [index, step] of spec.steps.entries()) {
    if (step.after.length > 0) continue;
    const milliCores = step.tasks * getCapacityDemand(step).milliCores;
    total.milliCores += milliCores;
    total.work += milliCores *
      predictShape(state, { job: { spec }, step: index }, { now });
  }
  return total;
}

function explainRefusal(
  { startMs, finishMs }: JobForecast,
  options: {
    limitMs: number;
    isScarce: boolean;
    isOverShare: boolean;
    retry: Retry;
  },
): string {
  const { limitMs, isScarce, isOverShare, retry } = options;
  const share = isOverShare ? "beyond the organisation's share, and " : "";
  const finish = Number.isFinite(finishMs)
    ? `it would finish in ${Math.round(finishMs)} ms`
    : "no room is expected for it";
  const limit = `${Math.round(limitMs)} ms`;
  const value = isScarce
    ? `it is in time for ${limit}, and others are late or refused`
    : `its result has value for ${limit}`;
  if (!retry.isRoomLate) return `${share}${finish}; ${value}`;
  const room = Number.isFinite(startMs)
    ? `; room is expected in ${Math.round(startMs)} ms`
    : "";
  return `${share}${finish}; ${value}${room}, too late for a retry to be in time`;
}

/** Describes a predicted time for the log; `undefined`: never. */
function describeTime(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.round(ms) : undefined;
}
