import {
  GANG_WAIT_PERCENT,
  MIN_PACED_PERCENT,
  STALL_FACTOR,
  STALL_MS,
} from "./constants.ts";
import { StallsName } from "./policies.ts";
import { describeShape } from "./run_shape.ts";
import { findTask, getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import { StopReason, stopRun } from "./stop_run.ts";
import { recordEndpointResult, stopGang } from "./task_ends.ts";
import {
  type Endpoint,
  type FirstProgress,
  type Run,
  RunPhase,
  type Stage,
  type Task,
  TaskPhase,
} from "./types.ts";

/** Runs that make no progress. */
export interface Stall {
  /** The stalled runs whose tasks should run on other endpoints next. */
  runs: Run[];
  /** Run whose endpoint is held responsible; undefined: none can be told. */
  culprit: Run | undefined;
  /** No member of the gang makes progress. */
  isWholeGang: boolean;
  /** Time without progress after which the listed run counts as stalled, in ms. */
  limitMs: number;
}

/** A task with the run that a listing has just shown without progress. */
interface ListedTask {
  stage: Stage;
  task: Task;
  run: Run;
  now: number;
}

/**
 * Updates the progress of a run as listed. Stops a stalled run, and the whole gang of
 * a member, so that the task is restarted elsewhere.
 */
export function checkProgress(
  state: CellState,
  run: Run,
  { percent, now }: { percent: number; now: number },
): void {
  if (noteProgress(run, { percent, now })) return;
  if (run.phase !== RunPhase.Running) return;
  const taskRef = findTask(state, run.task);
  if (!taskRef) return;
  const { stage, task } = taskRef;
  const { longRunning, isFilling, gang } = getStep(stage);
  // Best-effort work makes no progress while there are no idle cores.
  if (longRunning || isFilling) return;
  const stall = state.policies.names.stalls === StallsName.Progress
    ? findStall(state, { stage, task, run, now })
    : findFixedStall(run, now);
  if (!stall) return;
  if (stall.culprit) {
    recordEndpointResult(state, stall.culprit.endpoint, {
      job: stage.job.spec.id,
      isFailure: true,
      now,
    });
  }
  stopRun(state, run, {
    now,
    reason: StopReason.Stalled,
    inputs: {
      idleMs: Math.round(now - run.progressAt),
      limitMs: Math.round(stall.limitMs),
      isWholeGang: stall.isWholeGang,
    },
  });
  for (const stalledRun of stall.runs) {
    const stalledTask = findTask(state, stalledRun.task)?.task;
    if (stalledTask) {
      stalledTask.avoidEndpoint = stalledRun.endpoint.info.id;
    }
  }
  const why = stall.isWholeGang
    ? "no member makes progress"
    : `${run.task} makes no progress`;
  if (gang) stopGang(state, stage, { now, why });
}

/**
 * Finds a stall by the run's own pace and the progress of its gang. Load: members of
 * a gang end together, so the fast ones show no progress at their last percent while
 * the slowest works; tasks of minutes take seconds for one percent.
 */
export function findStall(
  state: CellState,
  { stage, task, run, now }: ListedTask,
): Stall | undefined {
  const isAlone = !getStep(stage).gang || task.phase === TaskPhase.Done ||
    task.run !== run;
  if (isAlone) {
    const limitMs = computeLimit(state, stage, { run, now });
    return now - findIdleStart(run) >= limitMs
      ? { runs: [run], culprit: run, isWholeGang: false, limitMs }
      : undefined;
  }
  return findGangStall(state, { stage, task, run, now });
}

/**
 * Notes when a listing of an endpoint may show the next stall, so that the poll that is
 * to find it does not wait beyond. Load: a poll waits for up to a second for an end.
 */
export function noteStallCheck(
  state: CellState,
  endpoint: Endpoint,
  { now }: { now: number },
): void {
  if (state.policies.names.stalls !== StallsName.Progress) return;
  let checkAt = Number.POSITIVE_INFINITY;
  for (const run of endpoint.runs.values()) {
    const dueAt = findIdleStart(run) + STALL_MS;
    const isAhead = run.phase === RunPhase.Running && dueAt > now;
    if (isAhead) checkAt = Math.min(checkAt, dueAt);
  }
  endpoint.stallCheckAt = Number.isFinite(checkAt) ? checkAt : undefined;
}

/** Finds a stall by a fixed time without progress. */
function findFixedStall(run: Run, now: number): Stall | undefined {
  return now - run.progressAt >= STALL_MS
    ? { runs: [run], culprit: run, isWholeGang: false, limitMs: STALL_MS }
    : undefined;
}

function findGangStall(
  state: CellState,
  { stage, run, now }: ListedTask,
): Stall | undefined {
  const members = stage.tasks.flatMap((task) => task.run ? [task.run] : []);
  // Members of an incomplete gang wait for the others without progress.
  const isComplete = members.length === stage.tasks.length &&
    members.every((member) =>
      member.phase === RunPhase.Running && member.firstProgress
    );
  if (!isComplete) return undefined;
  const unfinished = members.filter(({ percent }) =>
    percent < GANG_WAIT_PERCENT
  );
  const isWaiting = unfinished.length > 0 && !unfinished.includes(run);
  if (isWaiting) return undefined;
  const completeAt = Math.max(...members.map(getListedAt));
  const idleSince = (member: Run) =>
    Math.max(findIdleStart(member), completeAt);
  const getLimit = (member: Run) =>
    computeLimit(state, stage, { run: member, now });
  const limitMs = getLimit(run);
  if (now - idleSince(run) < limitMs) return undefined;
  // Half the limit is more than the time between two listings of one endpoint, so
  // that members which halt at the same moment are not taken for working ones.
  const halfwayAt = idleSince(run) + limitMs / 2;
  const isOtherWorking = members.some((member) =>
    member !== run && hasProgress(member) && member.progressAt >= halfwayAt
  );
  const isStalledAlone = unfinished.length === 1 ||
    (isOtherWorking && unfinished.length > 1);
  if (isStalledAlone) {
    return { runs: [run], culprit: run, isWholeGang: false, limitMs };
  }
  const runs = unfinished.length > 0 ? unfinished : members;
  // The progress of a member whose endpoint sends no listings is not known.
  const isWholeGang = !isOtherWorking &&
    runs.every((member) =>
      member.endpoint.lastListingAt - idleSince(member) >= getLimit(member)
    );
  if (!isWholeGang) return undefined;
  const endpoints = new Set(runs.map(({ endpoint }) => endpoint));
  const culprit = endpoints.size === 1 ? runs[0] : undefined;
  return { runs, culprit, isWholeGang, limitMs };
}

/** Notes the listed progress of a run; returns whether it has changed. */
function noteProgress(
  run: Run,
  { percent, now }: { percent: number; now: number },
): boolean {
  const first = run.firstProgress;
  if (!first) run.firstProgress = { listedAt: now, percent };
  else if (percent < first.percent || isFirstChange(first, percent)) {
    run.firstProgress = { ...first, percent, changedAt: now };
  }
  if (percent === run.percent) return false;
  run.percent = percent;
  run.progressAt = now;
  return true;
}

/**
 * Returns whether a run progresses for the first time. Before, a gang's member waits for
 * the others, and a run that resumes from a checkpoint loads it.
 */
function isFirstChange(first: FirstProgress, percent: number): boolean {
  return first.changedAt === undefined && percent !== first.percent;
}

/** Computes after how long without progress a run is stalled, in milliseconds. */
function computeLimit(
  state: CellState,
  stage: Stage,
  { run, now }: { run: Run; now: number },
): number {
  const speed = state.runTimes.getSpeed(run.endpoint.info.id, now);
  const predictedMs = state.runTimes.predict(describeShape(stage), {
    quantile: 0.5,
    speed,
    now,
  });
  return Math.max(STALL_MS, STALL_FACTOR * computePace(run, predictedMs));
}

/**
 * Computes the mean time that a run has taken for one percent since its progress first
 * changed, in milliseconds. What its task was predicted to take counts while the run has made little progress.
 */
function computePace(
  { percent, progressAt, firstProgress }: Run,
  predictedMs: number,
): number {
  const predictedPace = predictedMs / 100;
  const madePercent = percent - (firstProgress?.percent ?? percent);
  const changedAt = firstProgress?.changedAt;
  if (changedAt === undefined || madePercent <= 0) return predictedPace;
  const pace = (progressAt - changedAt) / madePercent;
  return madePercent < MIN_PACED_PERCENT ? Math.max(pace, predictedPace) : pace;
}

/** Finds since when a run is known to have made no progress. */
function findIdleStart(run: Run): number {
  return Math.max(run.progressAt, getListedAt(run));
}

function getListedAt({ firstProgress, progressAt }: Run): number {
  return firstProgress?.listedAt ?? progressAt;
}

function hasProgress({ firstProgress }: Run): boolean {
  return firstProgress?.changedAt !== undefined;
}
