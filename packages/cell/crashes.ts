import { RecordKind, splitRuns } from "../journal/mod.ts";
import { JobState } from "../jobs/mod.ts";
import { classifyCrash, type Crash, type CrashVerdict } from "./blame.ts";
import {
  FORMER_START_MS,
  MAX_ALL_CRASHES,
  MAX_CRASH_DELAY_MS,
  MAX_TASK_CRASHES,
  SUSPECT_RETRY_MS,
  SUSPECT_WINDOW_MS,
} from "./constants.ts";
import { findTask } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import { findLastSign, isLeaving, listSuspectRuns } from "./suspects.ts";
import { type CurrentTime, endJob } from "./task_ends.ts";
import {
  type CountedCrash,
  DecisionKind,
  type Endpoint,
  type Run,
  type Stage,
  type Task,
  type TaskCrashes,
  TaskPhase,
} from "./types.ts";

/**
 * Describes the end of an endpoint's known lifetime; `undefined` if that lifetime
 * was not known, is counted already, or ended as planned. Called before the runs of
 * the lifetime are released.
 */
export function describeCrash(
  state: CellState,
  endpoint: Endpoint,
  { isMissing }: { isMissing: boolean },
): Crash | undefined {
  const { bornAt, contact, info, runs } = endpoint;
  if (bornAt === 0 || contact.endedBornAt === bornAt) return undefined;
  contact.endedBornAt = bornAt;
  const suspects = listSuspectRuns(state, endpoint);
  const lastSignAt = findLastSign(endpoint, [...runs.values(), ...suspects]);
  contact.lapsedRuns = [];
  if (isLeaving(endpoint)) return undefined;
  return {
    endpoint: info.id,
    service: info.service,
    bornAt,
    lostAt: contact.lostAt || lastSignAt,
    suspects: listRunNames(suspects),
    lastStarted: listRunNames(
      suspects.filter(({ sentAt }) =>
        lastSignAt <= (sentAt ?? 0) + MAX_CRASH_DELAY_MS
      ),
    ),
    runs: runs.size,
    isCertain: !isMissing,
    isMissing,
  };
}

function listRunNames(runs: readonly Run[]): [string, number][] {
  return runs.map(({ task, number }) => [task, number]);
}

/**
 * Notes a crash and counts it for its suspects. The count is written to the
 * journal, so that it outlives this owner, unless it may be dropped again. Load: many endpoints crash at once; only
 * the runs that started right before are suspected, so that few tasks wait for trials.
 */
export function noteCrash(
  state: CellState,
  crash: Crash | undefined,
  time: CurrentTime,
): void {
  if (!crash) return;
  const { endpoint, bornAt } = crash;
  const verdict = classifyCrash(state, crash);
  const suspects = verdict.isWidespread ? crash.lastStarted : crash.suspects;
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
      ...verdict,
      isCertain: crash.isCertain,
      lostMsAgo: Math.round(time.now - crash.lostAt),
    },
  });
  if (suspects.length === 0) return;
  const recordedRuns = crash.isMissing ? [] : splitRuns(suspects);
  for (const runs of recordedRuns) {
    state.output.records.push({
      kind: RecordKind.Crashed,
      endpoint,
      bornAt,
      runs,
      ...verdict,
    });
  }
  for (const [task, run] of suspects) {
    applyCrash(state, { task, run, endpoint, bornAt, ...verdict }, time);
  }
}

/**
 * Counts a crash for a suspected run, once, and ends the job if too many endpoints
 * have crashed under the task. Idempotent, for journal replay.
 */
export function applyCrash(
  state: CellState,
  crash: Omit<CountedCrash, "isWidespread"> & { task: string } & CrashVerdict,
  time: CurrentTime,
): void {
  const taskRef = findTask(state, crash.task);
  if (!taskRef || taskRef.stage.job.outcome) return;
  const { task } = taskRef;
  const { crashes } = task;
  if (task.phase === TaskPhase.Done || hasCounted(crashes, crash)) return;
  const { run, endpoint, bornAt, isWidespread } = crash;
  crashes.counted.push({ run, endpoint, bornAt, isWidespread });
  const count = crashes.counted.length;
  crashes.retryAt = time.now + SUSPECT_RETRY_MS * 2 ** (count - 1);
  state.suspects.set(task.name, taskRef);
  if (isGivenUp(crashes, crash)) endSuspectJob(state, taskRef, time);
}

/** Drops what was counted for a lifetime of an endpoint that answers again. */
export function dropCrashCounts(state: CellState, endpoint: Endpoint): void {
  for (const [name, { task }] of state.suspects) {
    const { crashes } = task;
    crashes.counted = crashes.counted.filter((crash) =>
      crash.endpoint !== endpoint.info.id || crash.bornAt !== endpoint.bornAt
    );
    if (crashes.counted.length === 0) state.suspects.delete(name);
  }
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
  const lifetimes = new Map<string, { endpoint: Endpoint; tasks: Task[] }>();
  for (const { task } of settled) {
    const endpoint = state.endpoints.get(task.placedOn);
    if (!endpoint || !hasCrashedSince(endpoint, task)) continue;
    const key = `${endpoint.info.id}@${task.placedBornAt}`;
    const lifetime = lifetimes.get(key);
    if (lifetime) lifetime.tasks.push(task);
    else lifetimes.set(key, { endpoint, tasks: [task] });
  }
  for (const { endpoint, tasks } of lifetimes.values()) {
    const bornAt = tasks[0].placedBornAt;
    const newestAt = Math.max(...tasks.map(({ placedAt }) => placedAt));
    const since = Math.max(
      state.restoredAt - FORMER_START_MS,
      newestAt - SUSPECT_WINDOW_MS,
    );
    const suspects = tasks.filter(({ placedAt, crashes, lastRun }) =>
      placedAt >= since && !hasCounted(crashes, {
        run: lastRun,
        endpoint: endpoint.info.id,
        bornAt,
      })
    );
    if (suspects.length === 0) continue;
    noteCrash(state, {
      endpoint: endpoint.info.id,
      service: endpoint.info.service,
      bornAt,
      lostAt: time.now,
      suspects: suspects.map(({ name, lastRun }) => [name, lastRun]),
      runs: tasks.length,
      lastStarted: [],
      isCertain: false,
      isMissing: false,
    }, time);
  }
}

/** Returns whether an endpoint is in another lifetime than the task was placed in. */
function hasCrashedSince(endpoint: Endpoint, task: Task): boolean {
  if (task.placedBornAt === 0) return false;
  if (endpoint.isListed && isLeaving(endpoint)) return false;
  return endpoint.isReplaced ||
    endpoint.bornAt !== 0 && endpoint.bornAt !== task.placedBornAt;
}

function hasCounted(
  { clearedRun, counted }: TaskCrashes,
  crash: Omit<CountedCrash, "isWidespread">,
): boolean {
  return crash.run <= clearedRun ||
    counted.some(({ endpoint, bornAt }) =>
      endpoint === crash.endpoint && bornAt === crash.bornAt
    );
}

/**
 * Returns whether a task is given up: a second crash can be laid to it, or there were
 * too many. Widespread crashes after the first one count only to a higher limit.
 */
function isGivenUp(
  { counted }: TaskCrashes,
  { isAttributable }: { isAttributable: boolean },
): boolean {
  const single = counted.filter((crash) => !crash.isWidespread);
  const suspicious = counted[0].isWidespread
    ? single.length + 1
    : single.length;
  return isAttributable && single.length > 1 ||
    suspicious >= MAX_TASK_CRASHES || counted.length >= MAX_ALL_CRASHES;
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
