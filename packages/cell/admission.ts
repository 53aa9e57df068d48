import {
  fitsInto,
  getCapacityDemand,
  type JobSpec,
  makeZeroDemand,
} from "../jobs/mod.ts";
import { explainEvacuatedRoom, isEvacuated } from "./evacuated_domains.ts";
import { AdmissionName } from "./policies.ts";
import { admitByRoom } from "./room_admission.ts";
import type { CellState } from "./state.ts";
import { computeObjective, getStep } from "./stages.ts";
import { Admission, type AdmissionOutcome } from "./types.ts";

/**
 * Longest predicted wait of an accepted job, as a multiple of its latency
 * objective: the result of a job that waits longer has no value.
 */
const MAX_WAIT_FACTOR = 2.5;

/**
 * Longest predicted wait of an accepted job that is beyond its organisation's
 * share, as a fraction of the job's slack.
 */
const OVER_SHARE_SLACK_RATIO = 0.5;

/** Shortest suggested retry delay, in milliseconds. */
const MIN_RETRY_MS = 1_000;

/** Longest suggested retry delay, in milliseconds. */
export const MAX_RETRY_MS = 8_000;

/** Capacity and waiting work of one service. */
export interface Backlog {
  /**
   * Total capacity of the listed endpoints that have accepted this owner's
   * fencing token and are in no evacuated domain, in thousandths of a core.
   */
  milliCores: number;
  /** Estimated work by priority, in thousandths of a core times ms. */
  work: Map<number, number>;
}

/**
 * Measures capacity and waiting work by service. Jobs beyond their
 * organisation's share do not count, as they are served after jobs within it.
 */
export function measureBacklogs(state: CellState): Map<string, Backlog> {
  const backlogs = new Map<string, Backlog>();
  for (const endpoint of state.endpoints.values()) {
    if (!endpoint.isListed || !endpoint.hasAcceptedFence) continue;
    if (isEvacuated(state, endpoint)) continue;
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
    const { milliCores } = getCapacityDemand(step);
    const work = stage.waitingTasks * milliCores * step.estimateMs;
    if (backlog) addWork(backlog, { priority: queue.priority, work });
  }
  return backlogs;
}

/**
 * Predicts how long a job waits for work of the same or a more urgent priority,
 * in milliseconds; 0 while the capacity of its service is not known.
 */
export function predictWait(state: CellState, spec: JobSpec): number {
  const backlog = state.backlogs.get(spec.queue.service);
  if (!backlog || backlog.milliCores === 0) return 0;
  let workAhead = 0;
  for (const [priority, work] of backlog.work) {
    if (priority <= spec.queue.priority) workAhead += work;
  }
  return workAhead / backlog.milliCores;
}

/**
 * Accepts or refuses a job. Under overload, a job whose predicted wait is too
 * long for its result to be of value is refused at once. The limit is stricter
 * for a job beyond its organisation's share, so that it does not delay others.
 */
export function admitJob(
  state: CellState,
  spec: JobSpec,
  options: { isOverShare: boolean; now: number },
): AdmissionOutcome {
  const { isOverShare } = options;
  const unplaceableStep = findUnplaceableStep(state, spec);
  if (unplaceableStep !== undefined) {
    return {
      admission: Admission.Refused,
      reason: `no endpoint can hold a task of step ${unplaceableStep}`,
      retryAfterMs: MAX_RETRY_MS,
    };
  }
  const evacuatedReason = explainEvacuatedRoom(state, spec);
  if (evacuatedReason) {
    return {
      admission: Admission.Refused,
      reason: evacuatedReason,
      retryAfterMs: MAX_RETRY_MS,
    };
  }
  if (state.policies.admitsAll) {
    return { admission: Admission.Accepted, reason: "" };
  }
  if (state.policies.names.admission === AdmissionName.Room) {
    return admitByRoom(state, spec, options);
  }
  const waitMs = predictWait(state, spec);
  const objectiveMs = computeObjective(spec);
  const slackMs = objectiveMs * (1 - 1 / Math.max(1, spec.queue.stretch));
  const limitMs = isOverShare
    ? slackMs * OVER_SHARE_SLACK_RATIO
    : objectiveMs * MAX_WAIT_FACTOR;
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

/**
 * Finds the first step whose tasks fit no listed endpoint; `undefined` if all
 * steps fit, or if no endpoint of the service is listed yet. Load: the room of
 * endpoints is small for a while, and the job fits once it has grown again.
 */
function findUnplaceableStep(
  state: CellState,
  spec: JobSpec,
): number | undefined {
  const listed = [...state.endpoints.values()].filter(({ isListed, info }) =>
    isListed && info.service === spec.queue.service
  );
  if (listed.length === 0) return undefined;
  const index = spec.steps.findIndex((step) =>
    !listed.some(({ info, fullRoom }) =>
      fitsInto(getCapacityDemand(step), fullRoom, makeZeroDemand()) &&
      (step.requiredLabel === "" || info.labels.includes(step.requiredLabel))
    )
  );
  return index < 0 ? undefined : index;
}

/**
 * Adds those steps of a new job that depend on no other step to the backlog,
 * which the next measurement replaces.
 */
export function addBacklog(state: CellState, spec: JobSpec): void {
  const backlog = state.backlogs.get(spec.queue.service);
  if (!backlog) return;
  for (const step of spec.steps) {
    if (step.after.length > 0) continue;
    const { milliCores } = getCapacityDemand(step);
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
