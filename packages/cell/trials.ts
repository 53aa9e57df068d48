import { MAX_TRIALS, PROBATION_MS, SUSPECT_WINDOW_MS } from "./constants.ts";
import { clearCrashes } from "./crashes.ts";
import type { PlacementPass } from "./placement_pass.ts";
import type { CellState } from "./state.ts";
import { getStep } from "./stages.ts";
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
 * Clears the suspects whose runs have outlived the probation, and forgets those
 * that need no further run.
 */
export function settleTrials(state: CellState): void {
  for (const taskRef of [...state.suspects.values()]) {
    const { stage, task } = taskRef;
    if (stage.job.outcome || task.phase === TaskPhase.Done) {
      state.suspects.delete(task.name);
    } else if (task.run && hasOutlivedProbation(task.run)) {
      clearCrashes(state, taskRef, task.run);
    }
  }
}

/** Collects the trials in progress. */
export function collectTrials(state: CellState, now: number): Trials {
  const trials: Trials = { queues: new Map(), endpoints: new Set() };
  for (const { stage, task } of state.suspects.values()) {
    const isTried = task.phase === TaskPhase.Unlocated ||
      task.run !== undefined && isOnTrial(task.run, now);
    if (!isTried) continue;
    countTrial(trials, stage);
    const tasks = getStep(stage).gang ? stage.tasks : [task];
    for (const { run } of tasks) {
      if (run && isOnTrial(run, now)) trials.endpoints.add(run.endpoint);
    }
  }
  return trials;
}

/**
 * Returns whether a suspect's run may be on probation. A start without an answer may
 * be carried out seconds later, and holds nothing up for that long.
 */
function isOnTrial(run: Run, now: number): boolean {
  return run.phase !== RunPhase.Unacknowledged ||
    now < run.lastChangedAt + PROBATION_MS;
}

/** Returns whether endpoints have crashed under a task and no run cleared it. */
export function isSuspect(task: Task): boolean {
  return task.crashes.counted.length > 0;
}

/**
 * Returns whether these tasks may be started now as far as crashes go: suspects
 * after their delay, and a few at a time in each queue, so that a class of tasks that
 * crash endpoints does not take down a service.
 */
export function mayTry(
  pass: PlacementPass,
  stage: Stage,
  tasks: readonly Task[],
): boolean {
  const suspects = tasks.filter(isSuspect);
  if (suspects.length === 0) return true;
  const running = pass.trials.queues.get(stage.job.spec.queue.name) ?? 0;
  if (running >= MAX_TRIALS) return false;
  return suspects.every(({ crashes }) => pass.now >= crashes.retryAt);
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

/** Returns whether the endpoint has answered and run the task after its probation. */
function hasOutlivedProbation(run: Run): boolean {
  const { contact } = run.endpoint;
  const startedAt = run.sentAt ?? run.startedAt;
  return run.phase === RunPhase.Running && run.isLifetimeKnown &&
    contact.lostAt === 0 && contact.lastSignAt >= startedAt + PROBATION_MS;
}

function hasRecentStart({ runs }: Endpoint, now: number): boolean {
  return [...runs.values()].some(({ startedAt }) =>
    now - startedAt < SUSPECT_WINDOW_MS
  );
}
