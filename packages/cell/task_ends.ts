import { RecordKind } from "../journal/mod.ts";
import { EndKind, JobState } from "../jobs/mod.ts";
import { EJECT_MS, MAX_RETRY_DELAY_MS, RETRY_DELAY_MS } from "./constants.ts";
import { StopReason, stopRun } from "./stop_run.ts";
import {
  addDecision,
  addWaiting,
  type CellState,
  removeRun,
  removeWaiting,
} from "./state.ts";
import { noteRunReleased } from "./run_feed.ts";
import { releaseUnlocated } from "./remnants.ts";
import { findTask, getStep, openStages } from "./stages.ts";
import {
  DecisionKind,
  type Endpoint,
  type Job,
  type Run,
  RunPhase,
  type Stage,
  type Task,
  TaskPhase,
} from "./types.ts";

/** The end of one run of a task. */
export interface TaskEnd {
  task: string;
  run: number;
  end: EndKind;
  /** Last checkpoint of the run; empty: none. */
  saved: string;
}

/**
 * Current time in milliseconds: `now` by the steady clock of this process,
 * `wallNow` by the time of day.
 */
export interface CurrentTime {
  now: number;
  wallNow: number;
}

/**
 * When a listing arrived and when it was requested (`askedAt`, steady clock).
 */
export interface ListingTimes extends CurrentTime {
  askedAt: number;
}

/**
 * Applies an end that an endpoint listed. Ends that must survive a change of
 * owner, those with a result or a checkpoint, are also written to the journal.
 */
export function recordEnd(
  state: CellState,
  end: TaskEnd,
  time: CurrentTime,
): void {
  const taskRef = findTask(state, end.task);
  if (!taskRef || taskRef.stage.job.outcome) return;
  const mustPersist = end.end === EndKind.Done || end.end === EndKind.Failed ||
    end.saved !== "";
  if (mustPersist) {
    state.output.records.push({
      kind: RecordKind.Ended,
      ...end,
      at: time.wallNow,
    });
  }
  applyEnd(state, end, time);
}

/** Applies an end to the state. Idempotent, for journal replay. */
export function applyEnd(
  state: CellState,
  end: TaskEnd,
  time: CurrentTime,
): void {
  const taskRef = findTask(state, end.task);
  if (!taskRef || taskRef.stage.job.outcome) return;
  const { stage, task } = taskRef;
  stage.job.hasStarted = true;
  const isNew = end.run > task.lastEndedRun;
  task.lastRun = Math.max(task.lastRun, end.run);
  task.lastEndedRun = Math.max(task.lastEndedRun, end.run);
  if (end.run >= task.lastRun) task.placedOn = "";
  if (isNew && end.saved) setCheckpoint(taskRef, end.saved);
  if (end.end === EndKind.Done && !getStep(stage).longRunning) {
    finishTasks(state, taskRef, time);
  } else if (end.end === EndKind.Failed && isNew) {
    countFailure(state, taskRef, time);
  }
}

/** Sets the checkpoint of a task. The tasks of a gang share one checkpoint. */
export function setCheckpoint(
  { stage, task }: { stage: Stage; task: Task },
  checkpoint: string,
): void {
  const tasks = getStep(stage).gang ? stage.tasks : [task];
  for (const gangTask of tasks) gangTask.checkpoint = checkpoint;
}

/**
 * Releases the resources of a run that has certainly ended, and requeues its
 * task. After a failure the task backs off and avoids the endpoint.
 */
export function releaseRun(
  state: CellState,
  run: Run,
  options: {
    now: number;
    hasFailed: boolean;
    reason: string;
    /** The start order was not sent, nor were those of the rest of a gang. */
    isUnsent?: boolean;
  },
): void {
  noteRunReleased(state, run);
  removeRun(state, run);
  const taskRef = findTask(state, run.task);
  if (!taskRef || taskRef.task.run !== run) return;
  const { stage, task } = taskRef;
  task.run = undefined;
  if (task.phase !== TaskPhase.Placed) return;
  task.phase = TaskPhase.Waiting;
  if (options.hasFailed) {
    task.avoidEndpoint = run.endpoint.info.id;
    // The first retry is immediate: most failures do not repeat.
    task.notBefore = options.now + task.retryDelayMs;
    task.retryDelayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      Math.max(RETRY_DELAY_MS, task.retryDelayMs * 2),
    );
  }
  addWaiting(state, taskRef);
  addDecision(state, {
    kind: DecisionKind.Requeued,
    subject: run.task,
    inputs: {
      run: run.number,
      endpoint: run.endpoint.info.id,
      bornAt: run.endpoint.bornAt,
      phase: run.phase,
      isLifetimeKnown: run.isLifetimeKnown,
      sinceStartMs: Math.round(options.now - run.startedAt),
      reason: options.reason,
    },
  });
  if (getStep(stage).gang && !options.isUnsent) {
    const why = `${run.task}: ${options.reason}`;
    stopGang(state, stage, { now: options.now, why });
  }
}

/** Stops the remaining runs of a gang. `why`: what ended the gang, for the log. */
export function stopGang(
  state: CellState,
  stage: Stage,
  { now, why, reason = StopReason.GangStopped }: {
    now: number;
    why: string;
    reason?: StopReason;
  },
): void {
  if (stage.remaining === 0) return;
  for (const { run } of stage.tasks) {
    if (!run || run.phase === RunPhase.Stopping) continue;
    stopRun(state, run, { now, reason, inputs: { why } });
  }
}

/** Ends a job and stops its remaining runs. */
export function endJob(
  state: CellState,
  job: Job,
  options: { outcome: JobState; now: number; reason: string },
): void {
  if (job.outcome) return;
  job.outcome = options.outcome;
  state.output.finished.add(job);
  for (const stage of job.stages) {
    state.ready.delete(stage);
    state.awaitingStartTime.delete(stage);
    for (const task of stage.tasks) {
      releaseUnlocated(state, { stage, task });
      // The run of a done task ends by itself; its end is not listed yet.
      if (task.run && task.phase !== TaskPhase.Done) {
        stopRun(state, task.run, {
          now: options.now,
          reason: options.outcome === JobState.Cancelled
            ? StopReason.Cancelled
            : StopReason.NoLongerNeeded,
          inputs: { why: options.reason },
        });
      }
    }
  }
  addDecision(state, {
    kind: DecisionKind.JobEnded,
    subject: job.spec.id,
    inputs: { outcome: options.outcome, reason: options.reason },
  });
}

/**
 * Counts consecutive failures on an endpoint and ejects it after too many; a
 * success resets the count. Repeated failures of one job count once, since the
 * job may be the cause.
 */
export function recordEndpointResult(
  state: CellState,
  endpoint: Endpoint,
  options: { job: string; isFailure: boolean; now: number },
): void {
  if (!options.isFailure) {
    endpoint.failuresInRow = 0;
    endpoint.ejectedUntil = 0;
    endpoint.lastFailedJob = "";
    return;
  }
  if (endpoint.lastFailedJob === options.job) return;
  endpoint.lastFailedJob = options.job;
  endpoint.failuresInRow++;
  if (endpoint.failuresInRow < state.policies.ejectAfterFailures) return;
  endpoint.ejectedUntil = options.now + EJECT_MS;
  addDecision(state, {
    kind: DecisionKind.EndpointEjected,
    subject: endpoint.info.id,
    inputs: { failuresInRow: endpoint.failuresInRow, job: options.job },
  });
}

function finishTasks(
  state: CellState,
  taskRef: { stage: Stage; task: Task },
  time: CurrentTime,
): void {
  const { stage } = taskRef;
  if (stage.remaining === 0) return;
  const tasks = getStep(stage).gang ? stage.tasks : [taskRef.task];
  for (const task of tasks) {
    if (task.phase === TaskPhase.Done) continue;
    releaseUnlocated(state, { stage, task });
    if (task.phase === TaskPhase.Waiting) {
      removeWaiting(state, stage);
    }
    task.phase = TaskPhase.Done;
    stage.remaining--;
    // Another run exists only if the lease of the finished one expired first.
    const isOtherRun = task.run &&
      task.run.number !== taskRef.task.lastEndedRun;
    if (isOtherRun && task.run) {
      stopRun(state, task.run, {
        now: time.now,
        reason: StopReason.NoLongerNeeded,
        inputs: { why: "the task is done by another run" },
      });
    }
  }
  if (stage.remaining > 0) return;
  const { job } = stage;
  job.remaining--;
  if (job.remaining > 0) return openStages(state, job, time);
  endJob(state, job, {
    outcome: JobState.Completed,
    now: time.now,
    reason: "all tasks are done",
  });
}

function countFailure(
  state: CellState,
  taskRef: { stage: Stage; task: Task },
  time: CurrentTime,
): void {
  const { stage, task } = taskRef;
  const step = getStep(stage);
  task.failures++;
  if (step.gang) {
    // The tasks of a gang share a run number: one failure counts for all.
    for (const gangTask of stage.tasks) {
      gangTask.lastEndedRun = Math.max(
        gangTask.lastEndedRun,
        task.lastEndedRun,
      );
    }
    stage.gangFailures++;
  }
  const failures = step.gang ? stage.gangFailures : task.failures;
  const { attempts } = stage.job.spec.queue;
  if (step.longRunning || attempts <= 0 || failures < attempts) return;
  endJob(state, stage.job, {
    outcome: JobState.Failed,
    now: time.now,
    reason: `${task.name} has failed ${failures} times`,
  });
}
