import { RecordKind } from "../journal/mod.ts";
import { JobState } from "../jobs/mod.ts";
import {
  FORMER_START_MS,
  MAX_TASK_CRASHES,
  SAME_MOMENT_MS,
  SUSPECT_RETRY_MS,
  SUSPECT_WINDOW_MS,
} from "./constants.ts";
import { findTask, getStep } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import { findLastSign, isLeaving, listSuspectRuns } from "./suspects.ts";
import { type CurrentTime, endJob } from "./task_ends.ts";
import {
  DecisionKind,
  type Endpoint,
  type Run,
  type Stage,
  type Task,
  type TaskCrashes,
  TaskPhase,
} from "./types.ts";

/** The end of an endpoint's lifetime without notice. */
export interface Crash {
  endpoint: string;
  service: string;
  /** Start of the lifetime that ended. */
  bornAt: number;
  /** When contact was lost, or the last sign of life; steady clock, in ms. */
  lostAt: number;
  /** Pairs of task and run number that may have caused it. */
  suspects: [string, number][];
  /** Number of runs that were lost, suspects included. */
  runs: number;
  /** Another lifetime has been seen; an endpoint that is only missing may return. */
  isCertain: boolean;
}

/**
 * Describes the end of an endpoint's known lifetime; `undefined` if that lifetime
 * was not known, is counted already, or ended as planned. Called before the runs of
 * the lifetime are released.
 */
export function describeCrash(
  state: CellState,
  endpoint: Endpoint,
  { isCertain }: { isCertain: boolean },
): Crash | undefined {
  const { bornAt, contact, info, runs } = endpoint;
  if (bornAt === 0 || contact.endedBornAt === bornAt) return undefined;
  contact.endedBornAt = bornAt;
  const suspects = listSuspectRuns(state, endpoint);
  contact.lapsedRuns = [];
  if (isLeaving(endpoint)) return undefined;
  return {
    endpoint: info.id,
    service: info.service,
    bornAt,
    lostAt: contact.lostAt || findLastSign(endpoint, runs.values()),
    suspects: suspects.map(({ task, number }) => [task, number]),
    runs: runs.size,
    isCertain,
  };
}

/**
 * Notes a crash and counts it for its suspects. The count is written to the
 * journal, so that it outlives this owner.
 */
export function noteCrash(
  state: CellState,
  crash: Crash | undefined,
  time: CurrentTime,
): void {
  if (!crash) return;
  const { endpoint, bornAt, suspects } = crash;
  const isAttributable = canAttribute(state, crash);
  state.recentCrashes = state.recentCrashes.filter(({ lostAt }) =>
    time.now - lostAt < FORMER_START_MS
  );
  state.recentCrashes.push(crash);
  addDecision(state, {
    kind: DecisionKind.EndpointCrashed,
    subject: endpoint,
    inputs: {
      bornAt,
      runs: crash.runs,
      suspects: suspects.map(([task]) => task),
      isAttributable,
      isCertain: crash.isCertain,
      lostMsAgo: Math.round(time.now - crash.lostAt),
    },
  });
  if (suspects.length === 0) return;
  state.output.records.push({
    kind: RecordKind.Crashed,
    endpoint,
    bornAt,
    runs: suspects,
    isAttributable,
  });
  for (const [task, run] of suspects) {
    applyCrash(state, { task, run, endpoint, isAttributable }, time);
  }
}

/**
 * Counts a crash for a suspected run, once. Ends the job of a task under which a
 * second endpoint has crashed if that can be laid to the task, and in any case
 * after `MAX_TASK_CRASHES`. Idempotent, for journal replay.
 */
export function applyCrash(
  state: CellState,
  crash: {
    task: string;
    run: number;
    endpoint: string;
    isAttributable: boolean;
  },
  time: CurrentTime,
): void {
  const taskRef = findTask(state, crash.task);
  if (!taskRef || taskRef.stage.job.outcome) return;
  const { task } = taskRef;
  const { crashes } = task;
  if (task.phase === TaskPhase.Done || hasCounted(crashes, crash.run)) return;
  crashes.counted.push({ run: crash.run, endpoint: crash.endpoint });
  const count = crashes.counted.length;
  crashes.retryAt = time.now + SUSPECT_RETRY_MS * 2 ** (count - 1);
  state.suspects.set(task.name, taskRef);
  const isGivenUp = count >= MAX_TASK_CRASHES ||
    count > 1 && crash.isAttributable;
  if (isGivenUp) endSuspectJob(state, taskRef, time);
}

/** Clears the crash count of a task whose run has outlived its probation. */
export function clearCrashes(
  state: CellState,
  { task }: { task: Task },
  run: Run,
): void {
  applyClearance(state, { task: task.name, run: run.number });
  state.output.records.push({
    kind: RecordKind.Cleared,
    task: task.name,
    run: run.number,
  });
}

/** Applies a clearance to the state. Idempotent, for journal replay. */
export function applyClearance(
  state: CellState,
  clearance: { task: string; run: number },
): void {
  const taskRef = findTask(state, clearance.task);
  if (!taskRef) return;
  const { crashes, name } = taskRef.task;
  crashes.clearedRun = Math.max(crashes.clearedRun, clearance.run);
  crashes.counted = crashes.counted.filter(({ run }) =>
    run > crashes.clearedRun
  );
  if (crashes.counted.length === 0) state.suspects.delete(name);
}

/**
 * Counts crashes for tasks that a former owner placed on an endpoint which has
 * crashed since. Suspected are those that were placed last there, and shortly
 * before this owner restored the cell. `settled`: tasks that certainly do not run
 * where they were placed.
 */
export function noteFormerCrashes(
  state: CellState,
  settled: Iterable<{ stage: Stage; task: Task }>,
  time: CurrentTime,
): void {
  const tasksByEndpoint = new Map<Endpoint, Task[]>();
  for (const { task } of settled) {
    const endpoint = state.endpoints.get(task.placedOn);
    if (!endpoint || !hasCrashedSince(endpoint, task)) continue;
    const tasks = tasksByEndpoint.get(endpoint);
    if (tasks) tasks.push(task);
    else tasksByEndpoint.set(endpoint, [task]);
  }
  for (const [endpoint, tasks] of tasksByEndpoint) {
    const newestAt = Math.max(...tasks.map(({ placedAt }) => placedAt));
    const since = Math.max(
      state.restoredAt - FORMER_START_MS,
      newestAt - SUSPECT_WINDOW_MS,
    );
    const suspects = tasks.filter(({ placedAt, crashes, lastRun }) =>
      placedAt >= since && !hasCounted(crashes, lastRun)
    );
    noteCrash(state, {
      endpoint: endpoint.info.id,
      service: endpoint.info.service,
      bornAt: tasks[0].placedBornAt,
      lostAt: time.now,
      suspects: suspects.map(({ name, lastRun }) => [name, lastRun]),
      runs: tasks.length,
      isCertain: false,
    }, time);
  }
}

/** Returns whether an endpoint is in a later lifetime than the task was placed in. */
function hasCrashedSince(endpoint: Endpoint, task: Task): boolean {
  if (task.placedBornAt === 0) return false;
  if (endpoint.isListed && isLeaving(endpoint)) return false;
  return endpoint.isReplaced || endpoint.bornAt > task.placedBornAt;
}

function hasCounted(crashes: TaskCrashes, run: number): boolean {
  return run <= crashes.clearedRun ||
    crashes.counted.some((counted) => counted.run === run);
}

/**
 * Returns whether a crash can be laid to its suspect: a single task, or the members
 * of one gang, and no endpoint of the service was lost at the same moment that did
 * not run the same step. Load: a rack or many endpoints crash at once.
 */
function canAttribute(state: CellState, crash: Crash): boolean {
  const stages = new Set<Stage>();
  for (const [task] of crash.suspects) {
    const taskRef = findTask(state, task);
    if (taskRef) stages.add(taskRef.stage);
  }
  if (!crash.isCertain || stages.size !== 1) return false;
  const [stage] = stages;
  if (crash.suspects.length > 1 && !getStep(stage).gang) return false;
  const isOfStage = (task: string) => findTask(state, task)?.stage === stage;
  const isSameMoment = (lostAt: number) =>
    Math.abs(lostAt - crash.lostAt) <= SAME_MOMENT_MS;
  const hasOtherCrash = state.recentCrashes.some((other) =>
    other.service === crash.service && isSameMoment(other.lostAt) &&
    !other.suspects.some(([task]) => isOfStage(task))
  );
  if (hasOtherCrash) return false;
  for (const { info, contact, runs } of state.endpoints.values()) {
    const isOther = info.id !== crash.endpoint &&
      info.service === crash.service && contact.lostAt > 0;
    if (!isOther || !isSameMoment(contact.lostAt)) continue;
    if (![...runs.keys()].some(isOfStage)) return false;
  }
  return true;
}

function endSuspectJob(
  state: CellState,
  { stage, task }: { stage: Stage; task: Task },
  { now }: CurrentTime,
): void {
  const endpoints = task.crashes.counted.map(({ endpoint }) => endpoint);
  addDecision(state, {
    kind: DecisionKind.TaskGivenUp,
    subject: task.name,
    inputs: { endpoints },
  });
  endJob(state, stage.job, {
    outcome: JobState.Failed,
    now,
    reason: `${task.name} has crashed ${endpoints.length} endpoints: ${
      endpoints.join(", ")
    }`,
  });
}
