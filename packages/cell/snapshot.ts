import { type JournalRecord, RecordKind } from "../journal/mod.ts";
import { type JobSpec, JobState, parseTaskName } from "../jobs/mod.ts";
import type { RunTimesSnapshot } from "../runtimes/mod.ts";
import { applyEnd, type CurrentTime } from "./task_ends.ts";
import {
  applyClearance,
  applyCrashedRecord,
  settleFormerCrashes,
} from "./blame.ts";
import {
  EARLIER_SINGLE_CHANCE,
  EARLIER_WIDESPREAD_CHANCE,
  TELLING_CHANCE,
} from "./constants.ts";
import {
  collectCrashes,
  restoreCrash,
  type StoredCrash,
} from "./crash_history.ts";
import { makeEndpoint } from "./endpoints.ts";
import { restoreStages } from "./held_tasks.ts";
import { addRemnant, addTaskRemnant, collectRemnants } from "./remnants.ts";
import type { CellState } from "./state.ts";
import { addUnlocated, findTask, makeJob, openStages } from "./stages.ts";
import {
  type EndedJob,
  type Endpoint,
  type Job,
  type Remnant,
  type Stage,
  type Task,
  type TaskCrashes,
  TaskPhase,
} from "./types.ts";

/** Stored crashes under a task. */
interface CrashesSnapshot {
  counted: {
    run: number;
    endpoint: string;
    bornAt: number;
    /** Missing in snapshots of earlier versions, which read `isWidespread`. */
    chance?: number;
    /** Missing in snapshots of earlier versions: it is. */
    isSettled?: boolean;
    isWidespread: boolean;
  }[];
  clearedRun: number;
}

/** Stored state of a task. */
interface TaskSnapshot {
  name: string;
  isDone: boolean;
  lastEndedRun: number;
  failures: number;
  saved: string;
  lastRun: number;
  placedOn: string;
  /** These are missing in snapshots of earlier versions. */
  placedBornAt?: number;
  placedAt?: number;
  crashes?: CrashesSnapshot;
}

/** Stored state of a job. Times: Unix milliseconds. */
interface JobSnapshot {
  spec: JobSpec;
  acceptedAt: number;
  outcome?: JobState;
  tasks: TaskSnapshot[];
  gangFailures: number[];
}

/** Durable state of a cell. */
export interface CellSnapshot {
  jobs: JobSnapshot[];
  ended: [string, EndedJob][];
  endpoints: { id: string; address: string; service: string }[];
  /** Missing in snapshots of earlier versions. */
  remnants?: Remnant[];
  /** Recent crashes; missing in snapshots of earlier versions. */
  crashes?: StoredCrash[];
  /** What the model of run times has learned; missing unless it learns. */
  runTimes?: RunTimesSnapshot;
}

/** Exports the durable state with all decisions so far, committed or not. */
export function collectSnapshot(state: CellState): CellSnapshot {
  const endpoints = [...state.endpoints.values()]
    .filter((endpoint) => endpoint.isRecorded || endpoint.isRecording)
    .map(({ info }) => ({
      id: info.id,
      address: info.address,
      service: info.service,
    }));
  return {
    jobs: [...state.jobs.values()].map(describeJob),
    ended: [...state.ended],
    endpoints,
    remnants: collectRemnants(state),
    crashes: collectCrashes(state),
    runTimes: state.runTimes.collectSnapshot(),
  };
}

/**
 * Restores the state from a snapshot and the journal records after it. Tasks
 * that a former owner placed become unlocated.
 */
export function restoreCell(
  state: CellState,
  contents: { snapshot?: CellSnapshot; records: JournalRecord[] },
  time: CurrentTime,
): void {
  for (const [id, ended] of contents.snapshot?.ended ?? []) {
    state.ended.set(id, ended);
  }
  for (const endpoint of contents.snapshot?.endpoints ?? []) {
    restoreEndpoint(state, endpoint);
  }
  for (const remnant of contents.snapshot?.remnants ?? []) {
    addRemnant(state, remnant);
  }
  const usedJobs = collectUsedJobs(contents.records);
  for (const job of contents.snapshot?.jobs ?? []) {
    restoreJob(state, job, { time, usedJobs });
  }
  for (const crash of contents.snapshot?.crashes ?? []) {
    restoreCrash(state, crash, time);
  }
  const { runTimes } = contents.snapshot ?? {};
  if (runTimes) state.runTimes.restore(runTimes, time.now);
  for (const record of contents.records) {
    applyRecord(state, record, { time, usedJobs });
  }
  settleFormerCrashes(state, time);
  for (const job of state.jobs.values()) {
    restorePlacements(state, job);
    if (job.outcome) finishJob(state, job, time);
    else openStages(state, job, time);
  }
}

/** What is known while the journal is restored. */
interface RestoreOptions {
  time: CurrentTime;
  /** Ids of the jobs of which records name tasks. */
  usedJobs: ReadonlySet<string>;
}

/** Collects the ids of the jobs of which records name tasks. */
function collectUsedJobs(records: readonly JournalRecord[]): Set<string> {
  const names = records.flatMap((record) => {
    switch (record.kind) {
      case RecordKind.Placed:
        return record.runs.map(([task]) => task);
      case RecordKind.Ended:
      case RecordKind.Cleared:
        return [record.task];
      case RecordKind.Crashed:
        return record.runs.map(([task]) => task);
      default:
        return [];
    }
  });
  return new Set(names.flatMap((name) => parseTaskName(name)?.job ?? []));
}

/**
 * Marks the placed tasks of a job as possibly running: as unlocated if they need
 * to run, otherwise as remnants.
 */
function restorePlacements(state: CellState, job: Job): void {
  for (const stage of job.stages) {
    for (const task of stage.tasks) {
      const isNeeded = !job.outcome && task.phase !== TaskPhase.Done;
      if (isNeeded) addUnlocated(state, { stage, task });
      else addTaskRemnant(state, { stage, task });
    }
  }
}

/** Moves a job whose end is committed to the ended jobs. */
export function finishJob(
  state: CellState,
  job: Job,
  { wallNow }: { wallNow: number },
): void {
  if (!job.outcome) return;
  job.reportedOutcome = job.outcome;
  state.jobs.delete(job.spec.id);
  state.deferred.delete(job);
  state.heldTasks -= job.heldTasks;
  job.heldTasks = 0;
  state.ended.set(job.spec.id, {
    organisation: job.spec.organisation,
    state: job.outcome,
    at: wallNow,
  });
}

function describeJob(job: Job): JobSnapshot {
  const tasks = job.stages.flatMap((stage) => stage.tasks)
    .filter((task) =>
      task.phase === TaskPhase.Done || task.lastEndedRun > 0 ||
      task.placedOn !== ""
    )
    .map((task) => ({
      name: task.name,
      isDone: task.phase === TaskPhase.Done,
      lastEndedRun: task.lastEndedRun,
      failures: task.failures,
      saved: task.checkpoint,
      lastRun: task.lastRun,
      placedOn: task.placedOn,
      placedBornAt: task.placedBornAt,
      placedAt: task.placedAt,
      crashes: describeCrashes(task),
    }));
  return {
    spec: job.spec,
    acceptedAt: job.acceptedAt,
    outcome: job.outcome,
    tasks,
    gangFailures: job.stages.map((stage) => stage.gangFailures),
  };
}

/** Describes the crashes under a task; `undefined`: none. */
function describeCrashes({ crashes }: Task): CrashesSnapshot | undefined {
  const { clearedRun } = crashes;
  const counted = crashes.counted
    .filter(({ isMissing }) => !isMissing)
    .map(({ run, endpoint, bornAt, chance, isSettled }) => ({
      run,
      endpoint,
      bornAt,
      chance,
      isSettled,
      isWidespread: chance >= TELLING_CHANCE,
    }));
  if (counted.length === 0 && clearedRun === 0) return undefined;
  return { counted, clearedRun };
}

function restoreCrashes(
  { counted, clearedRun }: CrashesSnapshot,
  now: number,
): TaskCrashes {
  const restored = counted.map(({ run, endpoint, bornAt, ...crash }) => ({
    run,
    endpoint,
    bornAt,
    chance: crash.chance ??
      (crash.isWidespread ? EARLIER_WIDESPREAD_CHANCE : EARLIER_SINGLE_CHANCE),
    isSettled: crash.isSettled ?? true,
  }));
  return { counted: restored, clearedRun, suspectedAt: now, retryAt: 0 };
}

function restoreJob(
  state: CellState,
  snapshot: JobSnapshot,
  { time, usedJobs }: RestoreOptions,
): void {
  const job = addStoredJob(state, snapshot.spec, {
    acceptedAt: snapshot.acceptedAt,
    time,
    isUsed: snapshot.tasks.length > 0 || usedJobs.has(snapshot.spec.id),
  });
  job.outcome = snapshot.outcome;
  const byName = new Map(snapshot.tasks.map((task) => [task.name, task]));
  for (const [index, stage] of job.stages.entries()) {
    stage.gangFailures = snapshot.gangFailures[index] ?? 0;
    for (const task of stage.tasks) {
      const stored = byName.get(task.name);
      if (!stored) continue;
      restoreTask(stage, task, { stored, now: time.now });
      if (task.crashes.counted.length > 0) {
        state.suspects.set(task.name, { stage, task });
      }
    }
    if (stage.remaining === 0) job.remaining--;
  }
}

function restoreTask(
  stage: Stage,
  task: Task,
  { stored, now }: { stored: TaskSnapshot; now: number },
): void {
  task.lastEndedRun = stored.lastEndedRun;
  task.lastRun = Math.max(task.lastRun, stored.lastRun);
  task.placedOn = stored.placedOn;
  task.failures = stored.failures;
  task.placedBornAt = stored.placedBornAt ?? 0;
  task.placedAt = stored.placedAt ?? 0;
  if (stored.crashes) {
    task.crashes = restoreCrashes(stored.crashes, now);
  }
  task.checkpoint = stored.saved;
  if (!stored.isDone) return;
  task.phase = TaskPhase.Done;
  stage.remaining--;
  stage.waitingTasks--;
}

function addStoredJob(
  state: CellState,
  spec: JobSpec,
  options: { acceptedAt: number; time: CurrentTime; isUsed: boolean },
): Job {
  const { acceptedAt, time, isUsed } = options;
  // Two VMs' clocks may differ, and a clock may be set back: the age must not
  // become negative.
  const age = Math.max(0, time.wallNow - acceptedAt);
  const job = makeJob(spec, {
    acceptedAt,
    now: time.now - age,
    isOverShare: false,
  });
  restoreStages(state, job, { isUsed });
  job.isCommitted = true;
  state.jobs.set(spec.id, job);
  return job;
}

function applyRecord(
  state: CellState,
  record: JournalRecord,
  { time, usedJobs }: RestoreOptions,
): void {
  switch (record.kind) {
    case RecordKind.Accepted:
      if (state.jobs.has(record.job.id) || state.ended.has(record.job.id)) {
        return;
      }
      addStoredJob(state, record.job, {
        acceptedAt: record.at,
        time,
        isUsed: usedJobs.has(record.job.id),
      });
      return;
    case RecordKind.Ended:
      return applyEnd(state, record, time);
    case RecordKind.Cancelled: {
      const job = state.jobs.get(record.job);
      if (job && !job.outcome) job.outcome = JobState.Cancelled;
      return;
    }
    case RecordKind.EndpointUsed:
      restoreEndpoint(state, {
        id: record.endpoint,
        address: record.address,
        service: record.service,
      });
      return;
    case RecordKind.EndpointDropped:
      state.endpoints.delete(record.endpoint);
      return;
    case RecordKind.Crashed:
      return applyCrashedRecord(state, record, time);
    case RecordKind.Cleared:
      return applyClearance(state, record);
    case RecordKind.Placed:
      for (const [name, run] of record.runs) {
        const taskRef = findTask(state, name);
        if (!taskRef || run <= taskRef.task.lastEndedRun) continue;
        taskRef.task.placedOn = record.endpoint;
        taskRef.task.placedBornAt = record.bornAt ?? 0;
        taskRef.task.placedAt = record.at ?? 0;
        taskRef.task.lastRun = Math.max(taskRef.task.lastRun, run);
      }
  }
}

/** Adds an endpoint that a former owner used and that may still run tasks. */
function restoreEndpoint(
  state: CellState,
  stored: { id: string; address: string; service: string },
): Endpoint {
  const endpoint = makeEndpoint({
    ...stored,
    domain: "",
    labels: [],
    rack: "",
    capacity: { milliCores: 0, memoryMb: 0, accelerators: 0 },
    isDraining: true,
    bornAt: 0,
  });
  endpoint.isListed = false;
  endpoint.isRecorded = true;
  state.endpoints.set(stored.id, endpoint);
  return endpoint;
}
