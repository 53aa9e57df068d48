import {
  addDemand,
  countFits,
  getCapacityDemand,
  makeZeroDemand,
} from "../jobs/mod.ts";
import { canInterrupt } from "./colocation.ts";
import { LEAVING_MARGIN_MS, LONGEST_STOP_MS } from "./constants.ts";
import { isEvacuated } from "./evacuated_domains.ts";
import { canAcceptStarts, isEligible } from "./placement.ts";
import { LeavingName } from "./policies.ts";
import { describeShape } from "./run_shape.ts";
import { findTask, getStep } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import { StopReason, stopRun } from "./stop_run.ts";
import {
  DecisionKind,
  type Endpoint,
  type Run,
  RunPhase,
  type Stage,
  type Task,
} from "./types.ts";

/** Quantiles at which the chance of an end in time is measured. */
const QUANTILES = [0.1, 0.25, 0.5, 0.75, 0.9];

/** What becomes of the work of a run on a leaving endpoint. */
export enum LeavingChoice {
  /** It runs on: it may end in time, or its last useful moment is still to come. */
  Stay = "stay",
  /** It is stopped now and continues or starts again elsewhere. */
  Move = "move",
}

/** What the choice for a run, or for a whole gang, is based on. */
export interface LeavingInputs {
  /** Least time until the endpoint is gone, in milliseconds. */
  leftMs: number;
  /** Time that the run has worked since its start, in milliseconds. */
  elapsedMs: number;
  /** Predicted remaining time, by quantile of `QUANTILES`, in milliseconds. */
  restMs: readonly number[];
  /** A stop saves the work that was done. */
  isSavedByStop: boolean;
}

/**
 * Chooses whether work stays on a leaving endpoint. Work whose median remaining time
 * fits runs to its end. Work that a stop saves is stopped at the last useful moment.
 * Other work moves if that wastes less: all that was done, against all that will have
 * been done at the end of the endpoint times the chance that this comes first.
 */
export function chooseLeaving(inputs: LeavingInputs): LeavingChoice {
  const { leftMs, elapsedMs, restMs, isSavedByStop } = inputs;
  const medianMs = restMs[Math.floor(restMs.length / 2)];
  if (medianMs <= leftMs) return LeavingChoice.Stay;
  if (isSavedByStop) {
    return leftMs > LONGEST_STOP_MS + LEAVING_MARGIN_MS
      ? LeavingChoice.Stay
      : LeavingChoice.Move;
  }
  const fitting = restMs.filter((ms) => ms <= leftMs).length;
  const endChance = fitting === 0 ? 0 : QUANTILES[fitting - 1];
  const wasteOfStaying = (1 - endChance) * (elapsedMs + leftMs);
  return elapsedMs < wasteOfStaying ? LeavingChoice.Move : LeavingChoice.Stay;
}

/**
 * Moves the runs that will not end before their endpoints leave. Load: endpoints are
 * taken away while they run tasks of several seconds, and say how long they stay.
 */
export function planLeaving(
  state: CellState,
  { now, mayStart }: { now: number; mayStart: boolean },
): void {
  if (state.policies.names.leaving !== LeavingName.Move) return;
  const stages = new Set<Stage>();
  for (const endpoint of state.endpoints.values()) {
    noteLeaving(state, endpoint, { now });
    const { leaving } = endpoint;
    if (!leaving) continue;
    for (const run of endpoint.runs.values()) {
      const taskRef = findTask(state, run.task);
      const isCurrent = taskRef?.task.run === run &&
        run.phase === RunPhase.Running;
      if (!taskRef || !isCurrent || taskRef.stage.job.outcome) continue;
      const { stage, task } = taskRef;
      if (getStep(stage).gang) {
        stages.add(stage);
        continue;
      }
      const leftMs = leaving.leavesAt - now;
      if (getStep(stage).longRunning) {
        settleServing(state, { stage, task, run }, { now, leftMs, mayStart });
      } else settleRun(state, { stage, run }, { now, leftMs, mayStart });
    }
  }
  for (const stage of stages) settleGang(state, stage, { now, mayStart });
}

/** Describes the endpoints that leave at a known time, for a dump. */
export function describeLeaving(
  state: CellState,
  now: number,
): Record<string, unknown>[] {
  return [...state.endpoints.values()].flatMap(({ info, leaving, runs }) =>
    leaving
      ? [{ id: info.id, leftMs: leaving.leavesAt - now, runs: runs.size }]
      : []
  );
}

/**
 * Notes by when an endpoint leaves. A record that is read again without a change does
 * not extend the time.
 */
function noteLeaving(
  state: CellState,
  endpoint: Endpoint,
  { now }: { now: number },
): void {
  const { info, leaving } = endpoint;
  const { remainingMs, bornAt } = info;
  if (!endpoint.isListed || !info.isDraining || remainingMs === undefined) {
    // A record that is missing does not bring the endpoint back.
    if (endpoint.isListed) endpoint.leaving = undefined;
    return;
  }
  if (leaving?.remainingMs === remainingMs && leaving.bornAt === bornAt) {
    return;
  }
  endpoint.leaving = { remainingMs, bornAt, leavesAt: now + remainingMs };
  if (leaving && leaving.bornAt === bornAt) return;
  addDecision(state, {
    kind: DecisionKind.EndpointLeaving,
    subject: info.id,
    inputs: { remainingMs, bornAt, runs: endpoint.runs.size },
  });
}

function settleRun(
  state: CellState,
  { stage, run }: { stage: Stage; run: Run },
  options: { now: number; leftMs: number; mayStart: boolean },
): void {
  const { now, leftMs, mayStart } = options;
  const inputs = collectInputs(state, stage, { run, now, leftMs });
  if (chooseLeaving(inputs) === LeavingChoice.Stay) return;
  // Work that a stop does not save loses nothing more until another place is free.
  const isUseful = inputs.isSavedByStop ||
    (mayStart && countPlaces(state, stage, { now, runs: [run] }) > 0);
  if (!isUseful) return;
  stopRun(state, run, {
    now,
    reason: StopReason.EndpointLeaving,
    inputs: describeInputs(inputs),
  });
}

/** Moves a long-running task within the disruption budget of its step. */
function settleServing(
  state: CellState,
  { stage, task, run }: { stage: Stage; task: Task; run: Run },
  options: { now: number; leftMs: number; mayStart: boolean },
): void {
  const { now, leftMs, mayStart } = options;
  const isMoving = stage.tasks.some((sibling) =>
    sibling !== task && sibling.run?.phase === RunPhase.Stopping
  );
  const mayMove = mayStart && !isMoving && canInterrupt(stage, task) &&
    countPlaces(state, stage, { now, runs: [run] }) > 0;
  if (!mayMove) return;
  stopRun(state, run, {
    now,
    reason: StopReason.EndpointLeaving,
    inputs: { leftMs: Math.round(leftMs) },
  });
}

/**
 * Moves a gang as a whole if it will not end before the first of its endpoints leaves.
 * It ends with its slowest member.
 */
function settleGang(
  state: CellState,
  stage: Stage,
  { now, mayStart }: { now: number; mayStart: boolean },
): void {
  const runs = stage.tasks.flatMap(({ run }) => run ? [run] : []);
  const isRunning = runs.length === stage.tasks.length &&
    runs.every(({ phase }) => phase === RunPhase.Running);
  if (!isRunning) return;
  const leavesAt = Math.min(
    ...runs.map(({ endpoint }) =>
      endpoint.leaving?.leavesAt ?? Number.POSITIVE_INFINITY
    ),
  );
  const members = runs.map((run) =>
    collectInputs(state, stage, { run, now, leftMs: leavesAt - now })
  );
  const inputs: LeavingInputs = {
    ...members[0],
    elapsedMs: Math.max(...members.map(({ elapsedMs }) => elapsedMs)),
    restMs: QUANTILES.map((_, index) =>
      Math.max(...members.map(({ restMs }) => restMs[index]))
    ),
  };
  if (chooseLeaving(inputs) === LeavingChoice.Stay) return;
  const isUseful = inputs.isSavedByStop || (mayStart &&
    countPlaces(state, stage, { now, runs }) >= stage.tasks.length);
  if (!isUseful) return;
  for (const run of runs) {
    const isLeaving = run.endpoint.leaving !== undefined;
    stopRun(state, run, {
      now,
      reason: isLeaving ? StopReason.EndpointLeaving : StopReason.GangStopped,
      inputs: {
        ...describeInputs(inputs),
        why: "the endpoint of a member leaves before the gang would end",
      },
    });
  }
}

function collectInputs(
  state: CellState,
  stage: Stage,
  { run, now, leftMs }: { run: Run; now: number; leftMs: number },
): LeavingInputs {
  const shape = describeShape(stage);
  const speed = state.runTimes.getSpeed(run.endpoint.info.id, now);
  // Before its progress first changes, a run waits for its gang or loads what former
  // runs have done, which shows as progress from then on.
  const elapsedMs = now - (run.firstProgress?.changedAt ?? run.progressAt);
  const formerPercent = run.firstProgress?.percent ?? 0;
  const usualMs = state.runTimes.predict(shape, { quantile: 0.5, speed, now });
  const workedMs = elapsedMs + usualMs * formerPercent / 100;
  const restMs = QUANTILES.map((quantile) =>
    state.runTimes.predictRest(shape, {
      elapsedMs: workedMs,
      quantile,
      speed,
      now,
    })
  );
  const isSavedByStop = getStep(stage).checkpointing;
  return { leftMs, elapsedMs, restMs, isSavedByStop };
}

/**
 * Counts the tasks of a stage that could start now on endpoints which do not leave,
 * with what these runs of the stage take there free again.
 */
function countPlaces(
  state: CellState,
  stage: Stage,
  { now, runs }: { now: number; runs: readonly Run[] },
): number {
  const step = getStep(stage);
  const demand = getCapacityDemand(step);
  let places = 0;
  for (const endpoint of state.endpoints.values()) {
    const isUsable = endpoint.ejectedUntil === 0 &&
      !isEvacuated(state, endpoint) &&
      canAcceptStarts(endpoint, now) && isEligible(endpoint, stage);
    if (!isUsable) continue;
    const used = makeZeroDemand();
    addDemand(used, endpoint.used);
    for (const run of runs) {
      if (run.endpoint === endpoint) addDemand(used, run.demand, -1);
    }
    const fitting = countFits(demand, endpoint.info.capacity, used);
    places += step.maxPerEndpoint > 0
      ? Math.min(fitting, step.maxPerEndpoint)
      : fitting;
  }
  return places;
}

function describeInputs(inputs: LeavingInputs): Record<string, unknown> {
  return {
    leftMs: Math.round(inputs.leftMs),
    elapsedMs: Math.round(inputs.elapsedMs),
    restMs: inputs.restMs.map((ms) => Math.round(ms)),
    isSavedByStop: inputs.isSavedByStop,
  };
}
