import { addDemand, fitsInto, getCapacityDemand } from "../jobs/mod.ts";
import { canInterrupt } from "./colocation.ts";
import { countBelowEndpointLimit } from "./placement.ts";
import { predictRunMs } from "./placement_memory.ts";
import type { PlacementPass } from "./placement_pass.ts";
import { canMeetDeadline, MEDIAN } from "./speed_tiers.ts";
import { findTask, getStep } from "./stages.ts";
import { type Endpoint, type Run, RunPhase, type Stage } from "./types.ts";
import { isUrgent } from "./urgency.ts";

/**
 * Worth of a core-second of urgent work, as a multiple of that of other work. Callers of
 * both deployments with uneven endpoints value it at 0.030 against 0.0095 and 0.0087.
 */
const URGENT_WORTH = 3;

/** Time that a start from a checkpoint costs, in ms: the longer one of two platforms. */
const RESTART_MS = 600;

/** Runs of one endpoint that make room for a task, and what their stop wastes. */
export interface Candidate {
  endpoint: Endpoint;
  victims: Victim[];
  /** Thousandths of a core times milliseconds. */
  waste: number;
}

interface Victim {
  run: Run;
  waste: number;
}

/** Returns whether room is being freed on an endpoint. */
export function isPreempted(
  { state }: PlacementPass,
  endpoint: Endpoint,
): boolean {
  return state.placement.preemptions.some((preemption) =>
    preemption.endpoint === endpoint
  );
}

/**
 * Finds the runs of an endpoint whose stop makes room for a task and wastes the least;
 * `undefined` if there are none, or if their stop wastes more than the task is worth.
 */
export function findCandidate(
  pass: PlacementPass,
  stage: Stage,
  { endpoint, stopMs }: { endpoint: Endpoint; stopMs: number },
): Candidate | undefined {
  if (pass.releases.claimed.has(endpoint) || isPreempted(pass, endpoint)) {
    return undefined;
  }
  if (countBelowEndpointLimit(endpoint, stage) === 0) return undefined;
  const demand = getCapacityDemand(getStep(stage));
  const { now, state } = pass;
  const gain = URGENT_WORTH * demand.milliCores *
    predictRunMs(state, stage, { quantile: MEDIAN, now });
  const used = { ...endpoint.used };
  const reserved = pass.reservations.get(endpoint);
  if (reserved) addDemand(used, reserved);
  const candidate: Candidate = { endpoint, victims: [], waste: 0 };
  const budgetedStages = new Set<Stage>();
  for (const victim of listVictims(pass, { endpoint, stopMs })) {
    const victimStage = findTask(state, victim.run.task)?.stage;
    if (victimStage && hasBudget(victimStage)) {
      // Each budget is checked for the stop of one task.
      if (budgetedStages.has(victimStage)) continue;
      budgetedStages.add(victimStage);
    }
    addDemand(used, victim.run.demand, -1);
    candidate.victims.push(victim);
    candidate.waste += victim.waste;
    if (candidate.waste >= gain) return undefined;
    if (fitsInto(demand, endpoint.info.capacity, used)) return candidate;
  }
  return undefined;
}

/** Returns whether a disruption budget limits the stops of a stage's tasks. */
function hasBudget(stage: Stage): boolean {
  const { longRunning, maxAway } = getStep(stage);
  return longRunning && maxAway > 0;
}

/** Lists the runs that may be preempted on an endpoint, the least wasteful first. */
function listVictims(
  pass: PlacementPass,
  { endpoint, stopMs }: { endpoint: Endpoint; stopMs: number },
): Victim[] {
  return [...endpoint.runs.values()]
    .filter((run) => isPreemptable(pass, { run, stopMs }))
    .map((run) => ({
      run,
      waste: run.demand.milliCores * (measureWastedMs(pass, run) + stopMs),
    }))
    .sort((a, b) => a.waste - b.waste);
}

/**
 * Returns whether a run may be preempted: no member of a gang, no urgent work, no
 * long-running task beyond its budget, and no task that would be late only because of
 * it.
 */
export function isPreemptable(
  pass: PlacementPass,
  { run, stopMs }: { run: Run; stopMs: number },
): boolean {
  const taskRef = findTask(pass.state, run.task);
  if (!taskRef || taskRef.task.run !== run) return false;
  const { stage, task } = taskRef;
  if (run.phase !== RunPhase.Running || run.demand.milliCores === 0) {
    return false;
  }
  if (isUrgent(stage) || stage.job.outcome || getStep(stage).gang) return false;
  if (!canInterrupt(stage, task)) return false;
  const { now } = pass;
  const runMs = predictRunMs(pass.state, stage, { quantile: MEDIAN, now });
  const restMs = Math.max(0, runMs - (now - run.startedAt));
  const againMs = restMs + measureWastedMs(pass, run) + stopMs;
  return !canMeetDeadline(stage, { runMs: restMs, now }) ||
    canMeetDeadline(stage, { runMs: againMs, now });
}

/** Measures the work that a run loses if it is stopped now, in milliseconds. */
export function measureWastedMs({ now }: PlacementPass, run: Run): number {
  return run.savedAt === undefined
    ? now - run.startedAt
    : now - run.savedAt + RESTART_MS;
}
