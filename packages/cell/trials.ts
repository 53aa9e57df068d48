import { clearCrashes } from "./blame.ts";
import {
  LIKELY_CAUSE_PROBABILITY,
  MAX_TRIAL_MS,
  MAX_TRIAL_WAIT_MS,
  PROBATION_MS,
  SUSPECT_WINDOW_MS,
} from "./constants.ts";
import {
  estimateProbability,
  isProvenCause,
  isStrongSuspect,
  sumEvidence,
} from "./crash_evidence.ts";
import type { PlacementPass } from "./placement_pass.ts";
import type { CellState } from "./state.ts";
import { getStep } from "./stages.ts";
import { hasOutlivedProbation } from "./suspects.ts";
import { findTrialLimit, raiseTrialLimit } from "./trial_limits.ts";
import {
  type Endpoint,
  type Run,
  RunPhase,
  type Stage,
  type Task,
  TaskPhase,
} from "./types.ts";

/** Trials of suspects that are in progress. */
export interface Trials {
  /** Number of suspects that run or may run, by queue. */
  queues: Map<string, number>;
  /** Endpoints with a run on probation, which get no other work. */
  endpoints: Set<Endpoint>;
}

/**
 * Clears the suspects whose runs have outlived the probation or ended on an endpoint that
 * lived on, and forgets those that need no further run.
 */
export function settleTrials(state: CellState): void {
  for (const { stage, task } of [...state.suspects.values()]) {
    const { crashes, run, lastEndedRun } = task;
    if (stage.job.outcome || task.phase === TaskPhase.Done) {
      state.suspects.delete(task.name);
      continue;
    }
    const lastCounted = Math.max(...crashes.counted.map(({ run }) => run));
    const outlived = run && hasOutlivedProbation(run)
      ? run.number
      : lastEndedRun;
    if (outlived <= lastCounted) continue;
    if (isStrongSuspect(crashes)) raiseTrialLimit(state, stage);
    clearCrashes(state, { task: task.name, run: outlived });
  }
}

/** Collects the trials in progress. */
export function collectTrials(state: CellState, now: number): Trials {
  const trials: Trials = { queues: new Map(), endpoints: new Set() };
  for (const taskRef of state.suspects.values()) {
    if (!isOnTrial(state, { ...taskRef, now })) continue;
    const { stage, task } = taskRef;
    countTrial(trials, stage);
    const tasks = getStep(stage).gang ? stage.tasks : [task];
    for (const { run } of tasks) {
      if (run && mayBeOnProbation(run, now)) trials.endpoints.add(run.endpoint);
    }
  }
  return trials;
}

/** Returns whether a run of the task, maybe a former owner's, is on probation. */
function isOnTrial(
  state: CellState,
  { stage, task, now }: { stage: Stage; task: Task; now: number },
): boolean {
  if (!isTrialNeeded({ state, now }, { stage, task })) return false;
  if (task.phase === TaskPhase.Unlocated) {
    return state.plannedAt < task.placedAt + MAX_TRIAL_MS;
  }
  return task.run !== undefined && mayBeOnProbation(task.run, now);
}

/**
 * Returns whether a suspect's run may be on probation. A start without an answer may
 * be carried out seconds later, and an endpoint without contact may stay away: neither
 * holds anything up for that long.
 */
function mayBeOnProbation(run: Run, now: number): boolean {
  if (run.phase === RunPhase.Unacknowledged) {
    return now < run.lastChangedAt + PROBATION_MS;
  }
  return now < run.startedAt + MAX_TRIAL_MS;
}

/**
 * Returns whether these tasks may be started now as far as crashes go: strong suspects
 * after their delay, and a few at a time in each queue, so that a class of tasks that
 * crash endpoints does not take down a service. What would be given up waits until its
 * crashes are settled.
 */
export function mayTry(
  pass: PlacementPass,
  stage: Stage,
  tasks: readonly Task[],
): boolean {
  const suspects = tasks.filter((task) => isTrialNeeded(pass, { stage, task }));
  if (suspects.length === 0) return true;
  const running = pass.trials.queues.get(stage.job.spec.queue.name) ?? 0;
  if (running >= findTrialLimit(pass.state, stage).limit) return false;
  return suspects.every(({ crashes }) =>
    pass.now >= crashes.retryAt && !isProvenCause(sumEvidence(crashes))
  );
}

/**
 * Returns whether a task is to be tried apart from other work. One that is no likely
 * cause and whose trial does not come up in time starts like any other.
 */
export function isTrialNeeded(
  { state, now }: Pick<PlacementPass, "state" | "now">,
  { stage, task: { crashes } }: { stage: Stage; task: Task },
): boolean {
  if (!isStrongSuspect(crashes)) return false;
  const { loweredAt } = findTrialLimit(state, stage);
  const waitsSince = Math.max(crashes.suspectedAt, loweredAt);
  return now < waitsSince + MAX_TRIAL_WAIT_MS ||
    estimateProbability(crashes) >= LIKELY_CAUSE_PROBABILITY;
}

/**
 * Describes the strong suspects for a dump: why each waits for a trial, for how long so far
 * and at most (`leftMs`; missing: until a trial of its own).
 */
export function describeTrials(
  state: CellState,
  now: number,
): Record<string, unknown>[] {
  return [...state.suspects.values()].flatMap(({ stage, task }) => {
    const { name, crashes } = task;
    if (!isStrongSuspect(crashes)) return [];
    const { limit, loweredAt } = findTrialLimit(state, stage);
    const probability = estimateProbability(crashes);
    const waitsSince = Math.max(crashes.suspectedAt, loweredAt);
    const leftMs = Math.max(0, waitsSince + MAX_TRIAL_WAIT_MS - now);
    return [{
      task: name,
      chances: crashes.counted.map(({ chance }) => chance),
      probability: Number(probability.toPrecision(3)),
      trialsAtATime: limit,
      waitsMs: Math.round(now - crashes.suspectedAt),
      leftMs: probability < LIKELY_CAUSE_PROBABILITY
        ? Math.round(leftMs)
        : undefined,
    }];
  });
}

/**
 * Chooses the endpoint where a crash under a suspect harms the fewest runs; one
 * where a run has just started, which would be suspected as well, comes last.
 */
export function chooseTrialEndpoint(
  pass: PlacementPass,
  endpoints: readonly Endpoint[],
): Endpoint {
  const rank = (endpoint: Endpoint) =>
    hasRecentStart(endpoint, pass.now) ? Number.MAX_SAFE_INTEGER : 0;
  const compare = (a: Endpoint, b: Endpoint) =>
    rank(a) - rank(b) || a.runs.size - b.runs.size;
  return endpoints.reduce((best, endpoint) =>
    compare(endpoint, best) < 0 ? endpoint : best
  );
}

/** Begins the trial of a stage: its endpoints get no other work in this pass. */
export function beginTrial(
  pass: PlacementPass,
  stage: Stage,
  endpoints: readonly Endpoint[],
): void {
  const { queue } = stage.job.spec;
  countTrial(pass.trials, stage);
  for (const endpoint of endpoints) {
    pass.trials.endpoints.add(endpoint);
    pass.services.get(queue.service)?.accepting.delete(endpoint);
  }
}

function countTrial({ queues }: Trials, { job }: Stage): void {
  const { name } = job.spec.queue;
  queues.set(name, (queues.get(name) ?? 0) + 1);
}

function hasRecentStart({ runs }: Endpoint, now: number): boolean {
  return [...runs.values()].some(({ startedAt }) =>
    now - startedAt < SUSPECT_WINDOW_MS
  );
}
