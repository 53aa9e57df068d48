import { RecordKind } from "../journal/mod.ts";
import { EndKind, JobState } from "../jobs/mod.ts";
import { EJECT_MS, MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS } from "./constants.ts";
import { stopRun } from "./stops.ts";
import {
  addDecision,
  addWaiting,
  type CellState,
  removeRun,
  removeWaiting,
} from "./state.ts";
import { findTask, getStep, openStages, removeUnlocated } from "./stages.ts";
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

/** How one run of a task ended. */
export interface TaskEnd {
  task: string;
  run: number;
  end: EndKind;
  saved: string;
}

/** The present: this process's steady clock and the time of day, in ms. */
export interface Present {
  now: number;
  wallNow: number;
}

/** Records an end that an endpoint listed, and what follows from it. */
export function noteEnd(
  state: CellState,
  end: TaskEnd,
  present: Present,
): void {
  const place = findTask(state, end.task);
  if (!place || place.stage.job.outcome) return;
  const isFact = end.end === EndKind.Done || end.end === EndKind.Failed ||
    end.saved !== "";
  if (isFact) {
    state.output.records.push({
      kind: RecordKind.Ended,
      ...end,
      at: present.wallNow,
    });
  }
  applyEnd(state, end, present);
}

/** Applies an end to the state; applying it twice changes nothing. */
export function applyEnd(
  state: CellState,
  end: TaskEnd,
  present: Present,
): void {
  const place = findTask(state, end.task);
  if (!place || place.stage.job.outcome) return;
  const { stage, task } = place;
  stage.job.hasStarted = true;
  const isNew = end.run > task.lastEndedRun;
  task.lastRun = Math.max(task.lastRun, end.run);
  task.lastEndedRun = Math.max(task.lastEndedRun, end.run);
  if (end.run >= task.lastRun) task.placedOn = "";
  if (isNew && end.saved) setProgress(place, end.saved);
  if (end.end === EndKind.Done && !getStep(stage).longRunning) {
    finishTasks(state, place, present);
  } else if (end.end === EndKind.Failed && isNew) {
    countFailure(state, place, present);
  }
}

/** Sets the checkpoint of a task; a gang has one for all its tasks. */
export function setProgress(
  { stage, task }: { stage: Stage; task: Task },
  saved: string,
): void {
  const tasks = getStep(stage).gang ? stage.tasks : [task];
  for (const each of tasks) each.saved = saved;
}

/** Frees a run whose end is certain, and lets its task wait again. */
export function releaseRun(
  state: CellState,
  run: Run,
  options: { now: number; isFault: boolean; reason: string },
): void {
  removeRun(state, run);
  const place = findTask(state, run.task);
  if (!place || place.task.run !== run) return;
  const { stage, task } = place;
  task.run = undefined;
  if (task.phase !== TaskPhase.Placed) return;
  task.phase = TaskPhase.Waiting;
  if (options.isFault) {
    task.avoid = run.endpoint.info.id;
    // The first retry comes at once: most failures are not repeated.
    task.notBefore = options.now + task.pause;
    task.pause = Math.min(
      MAX_RETRY_PAUSE_MS,
      Math.max(RETRY_PAUSE_MS, task.pause * 2),
    );
  }
  addWaiting(state, place);
  addDecision(state, {
    kind: DecisionKind.Requeued,
    subject: run.task,
    inputs: {
      run: run.number,
      endpoint: run.endpoint.info.id,
      reason: options.reason,
    },
  });
  if (getStep(stage).gang) stopGang(state, stage, options);
}

/** Stops what still runs of a gang that is no longer whole. */
export function stopGang(
  state: CellState,
  stage: Stage,
  options: { now: number },
): void {
  if (stage.remaining === 0) return;
  for (const { run } of stage.tasks) {
    if (run && run.phase !== RunPhase.Stopping) stopRun(state, run, options);
  }
}

/** Ends a job and stops what still runs of it. */
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
    state.timed.delete(stage);
    for (const task of stage.tasks) {
      removeUnlocated(state, { stage, task });
      // A task that is done ends by itself; its end is only not listed yet.
      if (task.run && task.phase !== TaskPhase.Done) {
        stopRun(state, task.run, options);
      }
    }
  }
  addDecision(state, {
    kind: DecisionKind.JobEnded,
    subject: job.spec.id,
    inputs: { outcome: options.outcome, reason: options.reason },
  });
}

/** Notes whether an endpoint ends what it runs well. */
export function noteEndpointResult(
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
  if (endpoint.failuresInRow < state.policies.ejectAfter) return;
  endpoint.ejectedUntil = options.now + EJECT_MS;
  addDecision(state, {
    kind: DecisionKind.EndpointEjected,
    subject: endpoint.info.id,
    inputs: { failuresInRow: endpoint.failuresInRow, job: options.job },
  });
}

function finishTasks(
  state: CellState,
  place: { stage: Stage; task: Task },
  present: Present,
): void {
  const { stage } = place;
  if (stage.remaining === 0) return;
  const tasks = getStep(stage).gang ? stage.tasks : [place.task];
  for (const task of tasks) {
    if (task.phase === TaskPhase.Done) continue;
    removeUnlocated(state, { stage, task });
    if (task.phase === TaskPhase.Waiting) {
      removeWaiting(state, stage);
    }
    task.phase = TaskPhase.Done;
    stage.remaining--;
    // A second run can only exist where its lease has ended unseen.
    const isOther = task.run && task.run.number !== place.task.lastEndedRun;
    if (isOther && task.run) stopRun(state, task.run, present);
  }
  if (stage.remaining > 0) return;
  const { job } = stage;
  job.remaining--;
  if (job.remaining > 0) return openStages(state, job, present);
  endJob(state, job, {
    outcome: JobState.Completed,
    now: present.now,
    reason: "all tasks are done",
  });
}

function countFailure(
  state: CellState,
  place: { stage: Stage; task: Task },
  present: Present,
): void {
  const { stage, task } = place;
  const step = getStep(stage);
  task.failures++;
  if (step.gang) {
    // The tasks of a gang have one run number: one end counts for all.
    for (const each of stage.tasks) {
      each.lastEndedRun = Math.max(each.lastEndedRun, task.lastEndedRun);
    }
    stage.gangFailures++;
  }
  const failures = step.gang ? stage.gangFailures : task.failures;
  const { attempts } = stage.job.spec.queue;
  if (step.longRunning || attempts <= 0 || failures < attempts) return;
  endJob(state, stage.job, {
    outcome: JobState.Failed,
    now: present.now,
    reason: `${task.name} has failed ${failures} times`,
  });
}
