import { EndKind } from "../jobs/mod.ts";
import {
  type EndpointLifetime,
  LearnedRunTimes,
  RunOutcome,
  type RunProgress,
  type RunTimes,
  StatedRunTimes,
} from "../runtimes/mod.ts";
import { FULL_PACE, START_CONFIRM_MS } from "./constants.ts";
import { type PolicyNames, RunTimesName } from "./policies.ts";
import { describeShape } from "./run_shape.ts";
import { findTask, getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import type { Endpoint, Run, Stage } from "./types.ts";

/** Builds the model of run times that the settings select. */
export function buildRunTimes(names: PolicyNames): RunTimes {
  return names.run_times === RunTimesName.Learned
    ? new LearnedRunTimes({ unevenRatio: names.uneven_ratio })
    : new StatedRunTimes();
}

/** Notes the lifetime of an endpoint, whose speed starts from the prior. */
export function noteLifetime(
  state: CellState,
  endpoint: Endpoint,
  { now }: { now: number },
): void {
  state.runTimes.beginLifetime(describeLifetime(endpoint), now);
}

/** Notes the progress of a run in its endpoint's newest listing. */
export function noteProgress(
  state: CellState,
  run: Run,
  { percent, now }: { percent: number; now: number },
): void {
  const progress = openProgress(state, run, { now });
  if (!progress) return;
  if (run.pace !== undefined && run.pace < FULL_PACE) {
    run.progress = null;
    state.runTimes.observeEnd(progress, { outcome: RunOutcome.Ignored, now });
    return;
  }
  const clockMs = run.endpoint.lastListingClock;
  state.runTimes.observeProgress(progress, { percent, clockMs, now });
}

/**
 * Notes the listed end of a run; returns its actual and predicted run time for the
 * log, if they are known.
 */
export function noteRunEnd(
  state: CellState,
  run: Run,
  { end, now }: { end: EndKind; now: number },
): Record<string, number> {
  const progress = openProgress(state, run, { now });
  run.progress = null;
  if (!progress) return {};
  const stage = findTask(state, run.task)?.stage;
  const isCounted = progress.shape.isGang
    ? claimGangEnd(stage, run, end)
    : true;
  const result = state.runTimes.observeEnd(progress, {
    outcome: isCounted ? getOutcome(end) : RunOutcome.Ignored,
    gangEndpoints: listGangEndpoints(progress, stage),
    now,
  });
  if (!result) return {};
  return {
    actualMs: Math.round(result.actualMs),
    predictedMs: Math.round(result.predictedMs),
    predictedP90Ms: Math.round(result.predictedP90Ms),
  };
}

/**
 * Notes that a run is released without a listed end: it has run at least until the
 * last listing.
 */
export function noteRunReleased(state: CellState, run: Run): void {
  const { progress } = run;
  run.progress = null;
  if (!progress) return;
  const stage = findTask(state, run.task)?.stage;
  const isCounted = !progress.shape.isGang ||
    claimGangEnd(stage, run, EndKind.LeaseExpired);
  state.runTimes.observeEnd(progress, {
    outcome: isCounted ? RunOutcome.Censored : RunOutcome.Ignored,
    gangEndpoints: listGangEndpoints(progress, stage),
    now: run.endpoint.lastListingAt,
  });
}

/** Begins to observe a run, once; best-effort and long-running work is not observed. */
function openProgress(
  state: CellState,
  run: Run,
  { now }: { now: number },
): RunProgress | undefined {
  if (run.progress !== undefined) return run.progress ?? undefined;
  run.progress = null;
  const taskRef = findTask(state, run.task);
  if (!taskRef) return undefined;
  const { isFilling, longRunning } = getStep(taskRef.stage);
  if (isFilling || longRunning) return undefined;
  const { endpoint } = run;
  const progress = state.runTimes.beginRun({
    shape: describeShape(taskRef.stage),
    step: taskRef.stage.name,
    endpoint: describeLifetime(endpoint),
    startedAt: findStart(run, now),
    clockOffset: endpoint.clockOffset,
    now,
  });
  run.progress = progress ?? null;
  return progress;
}

/**
 * Returns when a run began with all its work ahead; `undefined`: it resumed from a
 * checkpoint, a former owner started it, or its start order may have arrived late.
 */
function findStart(run: Run, now: number): number | undefined {
  const { isResumed, sentAt, unlistedLeaseEndsAt } = run;
  if (isResumed || sentAt === undefined) return undefined;
  const isAnswered = unlistedLeaseEndsAt > 0;
  return isAnswered || now - sentAt <= START_CONFIRM_MS ? sentAt : undefined;
}

/**
 * Returns whether the end of a gang's member counts. The members end together with
 * the slowest one, so the first end tells the run time of the whole gang. Members that
 * waited in vain for the others have not run.
 */
function claimGangEnd(
  stage: Stage | undefined,
  run: Run,
  end: EndKind,
): boolean {
  const isKnown = !stage || run.number <= (stage.observedRun ?? 0);
  if (isKnown || end === EndKind.GangIncomplete) return false;
  stage.observedRun = run.number;
  return true;
}

function listGangEndpoints(
  { shape }: RunProgress,
  stage: Stage | undefined,
): string[] | undefined {
  if (!shape.isGang || !stage) return undefined;
  return stage.tasks.flatMap(({ run }) => run ? [run.endpoint.info.id] : []);
}

/** Returns what an end tells of the run time. */
function getOutcome(end: EndKind): RunOutcome {
  return end === EndKind.Done ? RunOutcome.Complete : RunOutcome.Censored;
}

function describeLifetime({ info, bornAt }: Endpoint): EndpointLifetime {
  const { id, service, labels } = info;
  return { id, service, labels, bornAt };
}
