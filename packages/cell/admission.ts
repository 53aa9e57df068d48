import {
  fitsInto,
  getRoomDemand,
  type JobSpec,
  makeNoDemand,
} from "../jobs/mod.ts";
import type { CellState } from "./state.ts";
import { computeObjective, getStep } from "./stages.ts";
import { Admission, type AdmissionOutcome } from "./types.ts";

/** Times its objective after which a job that is late earns nothing. */
const LATE_FACTOR = 2.5;

/** Part of its slack that a job beyond its organisation's share may wait. */
const OVER_SHARE_PART = 0.5;

/** Shortest and longest advice on when to come back, in milliseconds. */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 8_000;

/** Work that waits for the endpoints of one service. */
export interface Backlog {
  /** Cores of all endpoints that take work, in thousandths. */
  milliCores: number;
  /** Predicted work by priority, in thousandths of a core times ms. */
  work: Map<number, number>;
}

/** Measures what waits for each service. */
export function measureBacklogs(state: CellState): Map<string, Backlog> {
  const backlogs = new Map<string, Backlog>();
  for (const endpoint of state.endpoints.values()) {
    if (!endpoint.isListed || !endpoint.isHeld) continue;
    const { service, capacity } = endpoint.info;
    const backlog = backlogs.get(service) ?? { milliCores: 0, work: new Map() };
    backlog.milliCores += capacity.milliCores;
    backlogs.set(service, backlog);
  }
  for (const stage of state.ready) {
    if (stage.job.isOverShare) continue;
    const { queue } = stage.job.spec;
    const backlog = backlogs.get(queue.service);
    const step = getStep(stage);
    const { milliCores } = getRoomDemand(step);
    const work = stage.waiting * milliCores * step.estimateMs;
    if (backlog) addWork(backlog, { priority: queue.priority, work });
  }
  return backlogs;
}

/** Predicts how long a job waits for those that go first, in ms. */
export function predictWait(state: CellState, spec: JobSpec): number {
  const backlog = state.backlogs.get(spec.queue.service);
  if (!backlog || backlog.milliCores === 0) return 0;
  let ahead = 0;
  for (const [priority, work] of backlog.work) {
    if (priority <= spec.queue.priority) ahead += work;
  }
  return ahead / backlog.milliCores;
}

/**
 * Answers the load "more comes than can be served in time": a job that would
 * wait until it earns nothing is refused at once, and one beyond its
 * organisation's share as soon as others would wait for it.
 */
export function admitJob(
  state: CellState,
  spec: JobSpec,
  options: { isOverShare: boolean },
): AdmissionOutcome {
  const { isOverShare } = options;
  const misfit = findMisfit(state, spec);
  if (misfit !== undefined) {
    return {
      admission: Admission.Refused,
      reason: `no endpoint can hold a task of step ${misfit}`,
      retryAfterMs: MAX_RETRY_MS,
    };
  }
  if (state.policies.isOpen) {
    return { admission: Admission.Accepted, reason: "" };
  }
  const waitMs = predictWait(state, spec);
  const objectiveMs = computeObjective(spec);
  const slackMs = objectiveMs * (1 - 1 / Math.max(1, spec.queue.stretch));
  const limitMs = isOverShare
    ? slackMs * OVER_SHARE_PART
    : objectiveMs * LATE_FACTOR;
  if (waitMs <= limitMs) return { admission: Admission.Accepted, reason: "" };
  const retryAfterMs = waitMs - limitMs;
  return {
    admission: Admission.Refused,
    reason: isOverShare
      ? `beyond the organisation's share, and ${Math.round(waitMs)} ms to wait`
      : `it would wait ${Math.round(waitMs)} ms`,
    retryAfterMs: Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, retryAfterMs)),
  };
}

/** Finds a step that no listed endpoint could hold, if all are known. */
function findMisfit(state: CellState, spec: JobSpec): number | undefined {
  const serving = [...state.endpoints.values()].filter(({ isListed, info }) =>
    isListed && info.service === spec.queue.service
  );
  if (serving.length === 0) return undefined;
  const misfit = spec.steps.findIndex((step) =>
    !serving.some(({ info }) =>
      fitsInto(getRoomDemand(step), info.capacity, makeNoDemand()) &&
      (step.requiredLabel === "" || info.labels.includes(step.requiredLabel))
    )
  );
  return misfit < 0 ? undefined : misfit;
}

/** Counts a job that was taken since the backlog was measured. */
export function addBacklog(state: CellState, spec: JobSpec): void {
  const backlog = state.backlogs.get(spec.queue.service);
  if (!backlog) return;
  for (const step of spec.steps) {
    if (step.after.length > 0) continue;
    const { milliCores } = getRoomDemand(step);
    const work = step.tasks * milliCores * step.estimateMs;
    addWork(backlog, { priority: spec.queue.priority, work });
  }
}

function addWork(
  backlog: Backlog,
  added: { priority: number; work: number },
): void {
  const { priority, work } = added;
  backlog.work.set(priority, (backlog.work.get(priority) ?? 0) + work);
}
