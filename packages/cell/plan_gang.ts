import {
  addDemand,
  countFits,
  getCapacityDemand,
  makeZeroDemand,
  type StepSpec,
} from "../jobs/mod.ts";
import { askAboutUnaskedEndpoints, askAdvice } from "./ask_advice.ts";
import { MAX_GANG_RESERVATIONS } from "./constants.ts";
import { splitForGang } from "./gang_endpoints.ts";
import { stopGang } from "./task_ends.ts";
import {
  countFittingTasks,
  countWithinQuota,
  hasTicket,
  splitByRack,
} from "./placement.ts";
import { measureFreeCores, type PlacementPass } from "./placement_pass.ts";
import { sortGangSlots } from "./speed_choice.ts";
import { getStep } from "./stages.ts";
import { startTask } from "./start_task.ts";
import { beginTrial, isTrialNeeded, mayTry } from "./trials.ts";
import { type Endpoint, type Run, type Stage, TaskPhase } from "./types.ts";

/** Starts all tasks of a gang, or none. */
export function planGang(
  pass: PlacementPass,
  stage: Stage,
  usable: Endpoint[],
): void {
  if (!canPlaceGang(pass, stage)) return;
  if (!mayTry(pass, stage, stage.tasks)) return;
  if (countWithinQuota(pass.state, stage) < stage.tasks.length) return;
  const groups = splitForGang(pass.state, stage, { usable, now: pass.now });
  for (const group of groups) {
    const assignment = selectGangEndpoints(pass, stage, group);
    if (!assignment) continue;
    const hasAllTickets = assignment.every((endpoint) =>
      hasTicket(pass, stage, endpoint)
    );
    if (hasAllTickets) return startGang(pass, stage, assignment);
    // Reserves the capacity while tickets are missing, so that later stages do
    // not take it.
    reserveAssignment(pass, stage, assignment);
    return askAdvice(pass, stage, [...new Set(assignment)]);
  }
  askAboutUnaskedEndpoints(pass, stage);
  reserveForGang(pass, stage, usable);
}

/**
 * Returns whether a gang can be placed now: none of its tasks runs or may run,
 * and the backoff of every task has passed. Stops runs of an earlier placement.
 */
function canPlaceGang(pass: PlacementPass, stage: Stage): boolean {
  if (stage.tasks.some(({ phase }) => phase === TaskPhase.Unlocated)) {
    return false;
  }
  if (stage.tasks.some(({ run }) => run)) {
    // These runs were adopted from a former owner or remain of a broken gang.
    const why = "an earlier placement of the gang is incomplete";
    stopGang(pass.state, stage, { now: pass.now, why });
    return false;
  }
  return stage.tasks.every(({ name, notBefore }) =>
    pass.now >= notBefore && !pass.stoppingTasks.has(name)
  );
}

/** Selects an endpoint for each task; `undefined` if the gang does not fit. */
function selectGangEndpoints(
  pass: PlacementPass,
  stage: Stage,
  endpoints: Endpoint[],
): Endpoint[] | undefined {
  const slotCounts = endpoints
    .map((endpoint) => ({
      endpoint,
      slots: countFittingTasks(pass, endpoint, stage),
      isTicketed: hasTicket(pass, stage, endpoint),
    }))
    .filter(({ slots }) => slots > 0);
  const assignment: Endpoint[] = [];
  for (const { endpoint, slots } of sortGangSlots(pass, stage, slotCounts)) {
    for (
      let slot = 0;
      slot < slots && assignment.length < stage.tasks.length;
      slot++
    ) {
      assignment.push(endpoint);
    }
  }
  return assignment.length === stage.tasks.length ? assignment : undefined;
}

function startGang(
  pass: PlacementPass,
  stage: Stage,
  assignment: Endpoint[],
): void {
  const run = Math.max(...stage.tasks.map((task) => task.lastRun)) + 1;
  for (const [index, task] of stage.tasks.entries()) {
    startTask(pass, stage, { task, endpoint: assignment[index], run });
  }
  const isTrial = stage.tasks.some((task) =>
    isTrialNeeded(pass, { stage, task })
  );
  if (isTrial) beginTrial(pass, stage, assignment);
}

function reserveAssignment(
  pass: PlacementPass,
  stage: Stage,
  assignment: Endpoint[],
): void {
  const demand = getCapacityDemand(getStep(stage));
  for (const endpoint of assignment) {
    reserveCapacity(pass, endpoint, { demand });
  }
}

/**
 * Reserves capacity for a gang that does not fit yet, on the endpoints with the
 * most free cores, so that later stages of this pass do not take it. Reserves none
 * if the gang would not fit on idle endpoints either.
 */
function reserveForGang(
  pass: PlacementPass,
  stage: Stage,
  usable: Endpoint[],
): void {
  if (pass.reservedGangs >= MAX_GANG_RESERVATIONS) return;
  const step = getStep(stage);
  const groups = step.rackLocal ? splitByRack(usable) : [usable];
  const [group] = groups
    .filter((endpoints) =>
      sumOver(endpoints, (endpoint) => countSlots(endpoint, step)) >=
        stage.tasks.length
    )
    .sort((a, b) =>
      sumOver(b, measureFreeCores) - sumOver(a, measureFreeCores)
    );
  if (!group) return;
  pass.reservedGangs++;
  const byFreeCores = [...group].sort((a, b) =>
    measureFreeCores(b) - measureFreeCores(a)
  );
  const demand = getCapacityDemand(step);
  let unreservedTasks = stage.tasks.length;
  for (const endpoint of byFreeCores) {
    if (unreservedTasks <= 0) return;
    const tasks = Math.min(unreservedTasks, countSlots(endpoint, step));
    unreservedTasks -= tasks;
    reserveCapacity(pass, endpoint, { demand, tasks });
  }
}

function sumOver(
  endpoints: Endpoint[],
  measure: (endpoint: Endpoint) => number,
): number {
  return endpoints.reduce((sum, endpoint) => sum + measure(endpoint), 0);
}

/** Counts how many tasks of a step an idle endpoint may run at a time. */
function countSlots({ info }: Endpoint, step: StepSpec): number {
  const fitting = countFits(
    getCapacityDemand(step),
    info.capacity,
    makeZeroDemand(),
  );
  return step.maxPerEndpoint > 0
    ? Math.min(fitting, step.maxPerEndpoint)
    : fitting;
}

/** Reserves capacity of an endpoint in this pass, for a number of tasks. */
export function reserveCapacity(
  pass: PlacementPass,
  endpoint: Endpoint,
  options: { demand: Run["demand"]; tasks?: number },
): void {
  let reserved = pass.reservations.get(endpoint);
  if (!reserved) {
    reserved = makeZeroDemand();
    pass.reservations.set(endpoint, reserved);
  }
  addDemand(reserved, options.demand, options.tasks ?? 1);
}
