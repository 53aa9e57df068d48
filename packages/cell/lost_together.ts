import { JobState, parseTaskName } from "../jobs/mod.ts";
import {
  MAX_CRASH_DELAY_MS,
  SAME_MOMENT_MS,
  TRIAL_PROBABILITY,
} from "./constants.ts";
import { estimateProbability } from "./crash_evidence.ts";
import type { Crash, Loss, ServiceLoss } from "./crash_types.ts";
import { findTask } from "./stages.ts";
import type { CellState } from "./state.ts";
import {
  describeSuspects,
  findLastSign,
  hasOutlivedProbation,
  listSuspectRuns,
} from "./suspects.ts";
import { type Endpoint, type Stage, type Task, TaskPhase } from "./types.ts";

/** What the loss of an endpoint says about one that was lost at the same moment. */
export interface WeighedLoss {
  /** How far it shows that something other than a task took endpoints, 0 to 1. */
  weight: number;
  /** Stages of which a task was started there shortly before. */
  stages: ReadonlySet<Stage>;
}

/**
 * The endpoints that are lost or were lately, as known now. Load: a rack, a failure domain
 * or many endpoints crash or are cut off at once.
 */
export class LostEndpoints {
  readonly #state: CellState;
  readonly #losses: readonly ServiceLoss[];
  readonly #weighed = new Map<ServiceLoss, WeighedLoss>();

  constructor(state: CellState) {
    this.#state = state;
    const losses = new Map<string, ServiceLoss>();
    for (const endpoint of state.endpoints.values()) {
      const loss = describeLoss(state, endpoint);
      if (loss) losses.set(loss.endpoint, loss);
    }
    for (const crash of state.recentCrashes) losses.set(crash.endpoint, crash);
    this.#losses = [...losses.values()];
  }

  /** Lists the other endpoints of the service that were lost at the moment of a crash. */
  listTogether(crash: Crash): WeighedLoss[] {
    const together: WeighedLoss[] = [];
    for (const loss of this.#losses) {
      const isOther = loss.endpoint !== crash.endpoint &&
        loss.service === crash.service;
      const overlap = isOther ? measureOverlap(crash, loss) : 0;
      if (overlap === 0) continue;
      const { weight, stages } = this.#getWeighed(loss);
      together.push({ weight: weight * overlap, stages });
    }
    return together;
  }

  #getWeighed(loss: ServiceLoss): WeighedLoss {
    let weighed = this.#weighed.get(loss);
    if (!weighed) {
      weighed = estimateWeight(this.#state, loss);
      this.#weighed.set(loss, weighed);
    }
    return weighed;
  }
}

/**
 * Sums the losses that speak for another cause than a task of `stage`: a class of bad
 * tasks crashes several endpoints at once, unless tasks of it run well elsewhere.
 */
export function sumLosses(
  losses: readonly WeighedLoss[],
  stage?: Stage,
): number {
  const isSound = stage !== undefined && hasSoundTask(stage);
  return losses.reduce(
    (sum, { weight, stages }) =>
      stage && stages.has(stage) && !isSound ? sum : sum + weight,
    0,
  );
}

/** Returns whether a run of the task, this one or a later one, was outlived. */
export function isCleared({ phase, crashes }: Task, run: number): boolean {
  return phase === TaskPhase.Done || crashes.clearedRun >= run;
}

/** Returns whether the job of a task has failed. */
export function hasFailed(state: CellState, task: string): boolean {
  const job = parseTaskName(task)?.job ?? "";
  const outcome = state.jobs.get(job)?.outcome ?? state.ended.get(job)?.state;
  return outcome === JobState.Failed;
}

/** Measures how long ago before the loss the last sign of life was, in ms. */
export function measureWidth(
  { aliveAt, lostAt }: Pick<Loss, "aliveAt" | "lostAt">,
): number {
  return Math.max(0, lostAt - aliveAt);
}

/** Describes the loss of an endpoint without contact; `undefined`: it is in contact. */
function describeLoss(
  state: CellState,
  endpoint: Endpoint,
): ServiceLoss | undefined {
  const { info, contact: { lostAt }, bornAt } = endpoint;
  if (bornAt === 0 || lostAt === 0) return undefined;
  return {
    endpoint: info.id,
    service: info.service,
    bornAt,
    aliveAt: findLastSign(endpoint) || lostAt,
    lostAt,
    suspects: describeSuspects(endpoint, listSuspectRuns(state, endpoint)),
  };
}

/**
 * Measures how likely a loss, at some time between the last sign of life and the loss of
 * contact, fell into the time for which a crash is laid to a start before it: 0 to 1.
 */
function measureOverlap(crash: Crash, loss: Loss): number {
  const from = Math.max(
    crash.aliveAt - MAX_CRASH_DELAY_MS,
    loss.aliveAt - SAME_MOMENT_MS,
  );
  const until = Math.min(crash.lostAt, loss.lostAt + SAME_MOMENT_MS);
  return Math.max(0, until - from) / (measureWidth(loss) + 2 * SAME_MOMENT_MS);
}

/**
 * Estimates how far a loss shows another cause than a task. One that its own suspects
 * explain shows nothing. One right after a start may come from that, unless most endpoints
 * had a start right then.
 */
function estimateWeight(state: CellState, loss: ServiceLoss): WeighedLoss {
  const stages = new Set<Stage>();
  let isAfterStart = false;
  for (const { task: name, run, isRightBefore } of loss.suspects) {
    if (hasFailed(state, name)) return { weight: 0, stages };
    const taskRef = findTask(state, name);
    if (!taskRef) continue;
    const { stage, task } = taskRef;
    if (isCleared(task, run)) continue;
    const prior = estimatePrior(task, loss);
    if (prior >= TRIAL_PROBABILITY) return { weight: 0, stages };
    stages.add(stage);
    isAfterStart ||= isRightBefore;
  }
  const weight = isAfterStart ? measureStartFraction(state, loss) : 1;
  return { weight, stages };
}

/**
 * Measures the fraction of the endpoints in contact on which a run was started as shortly
 * before a loss as the suspects of a crash are. Half an endpoint is added, as none or all
 * of a few prove little.
 */
function measureStartFraction(
  state: CellState,
  { service, aliveAt, lostAt }: ServiceLoss,
): number {
  let count = 0;
  let started = 0;
  for (const { info, contact, recentStarts } of state.endpoints.values()) {
    if (info.service !== service || contact.lostAt > 0) continue;
    count++;
    const isStarted = recentStarts.some((at) =>
      at >= aliveAt - MAX_CRASH_DELAY_MS && at <= lostAt
    );
    if (isStarted) started++;
  }
  return (started + 0.25) / (count + 0.5);
}

/** Returns whether a task of the stage is done or has outlived a probation. */
function hasSoundTask({ tasks }: Stage): boolean {
  return tasks.some(({ phase, run }) =>
    phase === TaskPhase.Done || run !== undefined && hasOutlivedProbation(run)
  );
}

/** Estimates the probability that a task crashes endpoints, one loss left out. */
function estimatePrior(
  { crashes }: Task,
  loss: Pick<Loss, "endpoint" | "bornAt">,
): number {
  const counted = crashes.counted.filter(({ endpoint, bornAt }) =>
    endpoint !== loss.endpoint || bornAt !== loss.bornAt
  );
  return estimateProbability({ ...crashes, counted });
}
