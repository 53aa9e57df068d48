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

/** Assumed number of endpoints per advice call, to estimate its duration. */
const TYPICAL_ADVICE_ENDPOINTS = 30;

/** What a stage counts besides its tasks, in tasks: it takes about as much memory. */
export const STAGE_WEIGHT = 4;

/** Multiple of its objective after which a job's result has no value. */
export const EXPIRY_FACTOR = 3;

/** Builds a job with all its stages, none of them ready. */
export function buildJob(
  state: CellState,
  spec: JobSpec,
  options: { acceptedAt: number; now: number; isOverShare: boolean },
): Job {
  const job = makeJob(spec, options);
  buildStages(state, job);
  return job;
}

/** Makes a job without its stages, which has no tasks yet. */
export function makeJob(
  spec: JobSpec,
  options: { acceptedAt: number; now: number; isOverShare: boolean },
): Job {
  const objectiveMs = computeObjective(spec);
  return {
    spec,
    acceptedAt: options.acceptedAt,
    isOverShare: options.isOverShare,
    dueAt: options.now + objectiveMs,
    expiresAt: options.now + objectiveMs * EXPIRY_FACTOR,
    stages: [],
    heldTasks: 0,
    // Its stages count once they are built.
    remaining: 1,
    hasStarted: false,
    isCommitted: false,
  };
}

/** Builds all stages of a job, none of them ready. */
export function buildStages(state: CellState, job: Job): void {
  const { spec } = job;
  for (
    let occurrenceIndex = 0;
    occurrenceIndex < Math.max(1, spec.occurrences);
    occurrenceIndex++
  ) {
    for (const [stepIndex, step] of spec.steps.entries()) {
      const name = formatStageName({
        job: spec.id,
        occurrence: occurrenceIndex,
        step: stepIndex,
      });
      job.stages.push(
        buildStage(state, { job, name, occurrenceIndex, stepIndex, step }),
      );
    }
  }
  job.remaining = job.stages.length;
  job.heldTasks = countHeldTasks(spec);
  state.heldTasks += job.heldTasks;
}

/** Computes what a job counts while it is held, in tasks. */
export function countHeldTasks({ steps, occurrences }: JobSpec): number {
  let tasks = 0;
  for (const step of steps) tasks += step.tasks + STAGE_WEIGHT;
  return tasks * Math.max(1, occurrences);
}

/** Returns the step that a stage runs. */
export function getStep(stage: Stage): StepSpec {
  return stage.job.spec.steps[stage.step];
}

/** Returns when an occurrence may start, in Unix ms; 0: immediately. */
function computeStartTime(job: Job, occurrence: number): number {
  const { occurrences, firstRunAt, intervalMs } = job.spec;
  return occurrences > 0 ? firstRunAt + occurrence * intervalMs : 0;
}

/**
 * Makes stages ready whose dependencies are done and whose start time has come.
 */
export function openStages(
  state: CellState,
  job: Job,
  { now, wallNow }: { now: number; wallNow: number },
): void {
  const stepCount = job.spec.steps.length;
  for (const stage of job.stages) {
    if (stage.isReady || stage.remaining === 0) continue;
    const firstStage = stage.occurrence * stepCount;
    const isBlocked = getStep(stage).after.some((step) =>
      job.stages[firstStage + step].remaining > 0
    );
    if (isBlocked) continue;
    if (computeStartTime(job, stage.occurrence) > wallNow) {
      state.awaitingStartTime.add(stage);
      continue;
    }
    state.awaitingStartTime.delete(stage);
    stage.isReady = true;
    setDeadlines(stage, { now, wallNow });
    if (stage.waitingTasks > 0) state.ready.add(stage);
  }
}

/**
 * Sets the deadlines of a stage that becomes ready. Each occurrence of a
 * recurring job has its own deadlines. Long-running work is due at once and
 * never expires, because it has value whenever it runs.
 */
function setDeadlines(
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
  const elapsedMs = wallNow - computeStartTime(job, stage.occurrence);
  const objectiveMs = computeObjective(job.spec);
  stage.dueAt = now - elapsedMs + objectiveMs;
  stage.expiresAt = now - elapsedMs + objectiveMs * EXPIRY_FACTOR;
}

/** Finds a task and its stage by the name of the task. */
export function findTask(
  state: CellState,
  name: string,
): { stage: Stage; task: Task } | undefined {
  const parsed = parseTaskName(name);
  const job = parsed && state.jobs.get(parsed.job);
  if (!job) return undefined;
  const index = parsed.occurrence * job.spec.steps.length + parsed.step;
  const stage = job.stages[index];
  const task = stage?.tasks[parsed.index];
  return task && { stage, task };
}

/**
 * Marks a waiting task as possibly running where a former owner placed it.
 * Meanwhile the task counts against the quota of its organisation.
 */
export function addUnlocated(
  state: CellState,
  taskRef: { stage: Stage; task: Task },
): void {
  const { stage, task } = taskRef;
  if (task.phase !== TaskPhase.Waiting || task.placedOn === "") return;
  task.phase = TaskPhase.Unlocated;
  removeWaiting(state, stage);
  state.unlocated.set(task.name, taskRef);
  const usage = getUsage(state, stage.job.spec.organisation);
  addDemand(usage, getStep(stage).demand);
}

/** Clears the unlocated mark of a task, which then waits to be started. */
export function removeUnlocated(
  state: CellState,
  taskRef: { stage: Stage; task: Task },
): void {
  const { stage, task } = taskRef;
  if (!state.unlocated.delete(task.name)) return;
  const usage = getUsage(state, stage.job.spec.organisation);
  addDemand(usage, getStep(stage).demand, -1);
  task.phase = TaskPhase.Waiting;
  addWaiting(state, taskRef);
}

function buildStage(
  state: CellState,
  options: {
    job: Job;
    name: string;
    occurrenceIndex: number;
    stepIndex: number;
    step: StepSpec;
  },
): Stage {
  const { job, name, occurrenceIndex, stepIndex, step } = options;
  const tasks = Array.from({ length: step.tasks }, (_, index): Task => ({
    name: formatTaskName(name, index),
    phase: TaskPhase.Waiting,
    lastRun: (state.term - 1) * RUNS_PER_TERM,
    lastEndedRun: 0,
    failures: 0,
    checkpoint: "",
    notBefore: 0,
    retryDelayMs: 0,
    avoidEndpoint: "",
    placedOn: "",
    placedBornAt: 0,
    placedAt: 0,
    crashes: { counted: [], clearedRun: 0, suspectedAt: 0, retryAt: 0 },
  }));
  return {
    name,
    job,
    occurrence: occurrenceIndex,
    step: stepIndex,
    tasks,
    dueAt: job.dueAt,
    expiresAt: job.expiresAt,
    remaining: step.tasks,
    waitingTasks: step.tasks,
    isReady: false,
    gangFailures: 0,
    advice: {
      allowedEndpoints: new Map(),
      askedEndpoints: new Set(),
      callsInFlight: 0,
      retryAt: 0,
      failures: 0,
    },
  };
}

/**
 * Computes the latency objective of a job, in milliseconds: the estimated time
 * of its longest chain of steps with their advice calls, times the stretch of
 * the queue, plus the target latency.
 */
export function computeObjective(spec: JobSpec): number {
  const { advice, stretch, targetLatencyMs } = spec.queue;
  const adviceMs = advice
    ? advice.decideMs + advice.perEndpointMs * TYPICAL_ADVICE_ENDPOINTS
    : 0;
  const finishMs: number[] = [];
  for (const step of spec.steps) {
    const predecessors = step.after.map((stepIndex) =>
      finishMs[stepIndex] ?? 0
    );
    finishMs.push(Math.max(0, ...predecessors) + step.estimateMs + adviceMs);
  }
  return stretch * Math.max(0, ...finishMs) + targetLatencyMs;
}
