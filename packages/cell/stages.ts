import {
  addDemand,
  formatStageName,
  formatTaskName,
  type JobSpec,
  parseTaskName,
  type StepSpec,
} from "../jobs/mod.ts";
import { RUNS_PER_TERM } from "./constants.ts";
import {
  addWaiting,
  type CellState,
  getUsage,
  removeWaiting,
} from "./state.ts";
import { type Job, type Stage, type Task, TaskPhase } from "./types.ts";

/** Endpoints that a call for advice names when its time is predicted. */
const USUAL_ADVICE_ENDPOINTS = 30;

/** A job that takes this many times its objective is worth nothing. */
const EXPIRY_FACTOR = 3;

/** Builds a job with all its stages; none is ready yet. */
export function buildJob(
  state: CellState,
  spec: JobSpec,
  options: { acceptedAt: number; now: number; isOverShare: boolean },
): Job {
  const objectiveMs = computeObjective(spec);
  const job: Job = {
    spec,
    acceptedAt: options.acceptedAt,
    isOverShare: options.isOverShare,
    dueAt: options.now + objectiveMs,
    expiresAt: options.now + objectiveMs * EXPIRY_FACTOR,
    stages: [],
    remaining: 0,
    hasStarted: false,
    isCommitted: false,
  };
  for (let k = 0; k < Math.max(1, spec.occurrences); k++) {
    for (const [number, step] of spec.steps.entries()) {
      const name = formatStageName({
        job: spec.id,
        occurrence: k,
        step: number,
      });
      job.stages.push(buildStage(state, { job, name, k, number, step }));
    }
  }
  job.remaining = job.stages.length;
  return job;
}

/** Returns the step that a stage runs. */
export function getStep(stage: Stage): StepSpec {
  return stage.job.spec.steps[stage.step];
}

/** Returns when an occurrence is due, in Unix milliseconds; 0: at once. */
function computeDueTime(job: Job, occurrence: number): number {
  const { occurrences, firstRunAt, intervalMs } = job.spec;
  return occurrences > 0 ? firstRunAt + occurrence * intervalMs : 0;
}

/** Makes stages ready whose earlier steps are done and whose time has come. */
export function openStages(
  state: CellState,
  job: Job,
  { now, wallNow }: { now: number; wallNow: number },
): void {
  const width = job.spec.steps.length;
  for (const stage of job.stages) {
    if (stage.isReady || stage.remaining === 0) continue;
    const first = stage.occurrence * width;
    const isBlocked = getStep(stage).after.some((step) =>
      job.stages[first + step].remaining > 0
    );
    if (isBlocked) continue;
    if (computeDueTime(job, stage.occurrence) > wallNow) {
      state.timed.add(stage);
      continue;
    }
    state.timed.delete(stage);
    stage.isReady = true;
    setDueTimes(stage, { now, wallNow });
    if (stage.waiting > 0) state.ready.add(stage);
  }
}

/**
 * A job that comes again is due anew each time, and work that lasts is never
 * late: its tasks earn whenever they are at work.
 */
function setDueTimes(
  stage: Stage,
  { now, wallNow }: { now: number; wallNow: number },
): void {
  if (getStep(stage).longRunning) {
    stage.dueAt = now;
    stage.expiresAt = Number.POSITIVE_INFINITY;
    return;
  }
  const { job } = stage;
  if (job.spec.occurrences === 0) return;
  const lateMs = wallNow - computeDueTime(job, stage.occurrence);
  const objectiveMs = computeObjective(job.spec);
  stage.dueAt = now - lateMs + objectiveMs;
  stage.expiresAt = now - lateMs + objectiveMs * EXPIRY_FACTOR;
}

/** Finds a task by its name. */
export function findTask(
  state: CellState,
  name: string,
): { stage: Stage; task: Task } | undefined {
  const place = parseTaskName(name);
  const job = place && state.jobs.get(place.job);
  if (!job) return undefined;
  const index = place.occurrence * job.spec.steps.length + place.step;
  const stage = job.stages[index];
  const task = stage?.tasks[place.index];
  return task && { stage, task };
}

/** Counts a task as one that may run where a former owner started it. */
export function addUnlocated(
  state: CellState,
  place: { stage: Stage; task: Task },
): void {
  const { stage, task } = place;
  if (task.phase !== TaskPhase.Waiting || task.placedOn === "") return;
  task.phase = TaskPhase.Unlocated;
  removeWaiting(state, stage);
  state.unlocated.set(task.name, place);
  const usage = getUsage(state, stage.job.spec.organisation);
  addDemand(usage, getStep(stage).demand);
}

/** Ends the doubt about where a task runs; it waits to be started. */
export function removeUnlocated(
  state: CellState,
  place: { stage: Stage; task: Task },
): void {
  const { stage, task } = place;
  if (!state.unlocated.delete(task.name)) return;
  const usage = getUsage(state, stage.job.spec.organisation);
  addDemand(usage, getStep(stage).demand, -1);
  task.phase = TaskPhase.Waiting;
  addWaiting(state, place);
}

function buildStage(
  state: CellState,
  options: {
    job: Job;
    name: string;
    k: number;
    number: number;
    step: StepSpec;
  },
): Stage {
  const { job, name, k, number, step } = options;
  const tasks = Array.from({ length: step.tasks }, (_, index): Task => ({
    name: formatTaskName(name, index),
    phase: TaskPhase.Waiting,
    lastRun: (state.term - 1) * RUNS_PER_TERM,
    lastEndedRun: 0,
    failures: 0,
    saved: "",
    notBefore: 0,
    pause: 0,
    avoid: "",
    placedOn: "",
  }));
  return {
    name,
    job,
    occurrence: k,
    step: number,
    tasks,
    dueAt: job.dueAt,
    expiresAt: job.expiresAt,
    remaining: step.tasks,
    waiting: step.tasks,
    isReady: false,
    gangFailures: 0,
    advice: {
      allowed: new Map(),
      asked: new Set(),
      isAsking: false,
      retryAt: 0,
      failures: 0,
    },
  };
}

/** Computes how long a job may take and still be in time, in ms. */
export function computeObjective(spec: JobSpec): number {
  const { advice, stretch, targetLatencyMs } = spec.queue;
  const adviceMs = advice
    ? advice.decideMs + advice.perEndpointMs * USUAL_ADVICE_ENDPOINTS
    : 0;
  const chains: number[] = [];
  for (const step of spec.steps) {
    const before = step.after.map((number) => chains[number] ?? 0);
    chains.push(Math.max(0, ...before) + step.estimateMs + adviceMs);
  }
  return stretch * Math.max(0, ...chains) + targetLatencyMs;
}
