import { getCapacityDemand } from "../jobs/mod.ts";
import { askAboutUnaskedEndpoints, askAdvice } from "./ask_advice.ts";
import { selectForTickets } from "./advice_choice.ts";
import { planMoves, reserveForMoves } from "./evacuation_moves.ts";
import { countFittingTasks, countWithinQuota, hasTicket } from "./placement.ts";
import {
  beginPlacementPass,
  listUsable,
  type PlacementPass,
} from "./placement_pass.ts";
import { waitForFaster } from "./faster_endpoints.ts";
import {
  mayFitBeside,
  noteExemption,
  observeHeadroom,
  reserveHeadroom,
} from "./headroom.ts";
import { planPreemptions, settlePreemptions } from "./preemption.ts";
import { sortReadyStages } from "./learned_order.ts";
import { planGang, reserveCapacity } from "./plan_gang.ts";
import { sortByShares } from "./dominant_shares.ts";
import type { EndpointChoice } from "./policies.ts";
import { findEndpointChoice } from "./speed_choice.ts";
import { getStep } from "./stages.ts";
import {
  chooseLeastInterference,
  isColocationSensitive,
} from "./colocation.ts";
import { startTask } from "./start_task.ts";
import {
  beginTrial,
  chooseTrialEndpoint,
  isTrialNeeded,
  mayTry,
} from "./trials.ts";
import type { CellState } from "./state.ts";
import { type Endpoint, type Stage, type Task, TaskPhase } from "./types.ts";

/** Plans task starts and advice calls for all waiting stages. */
export function planStarts(state: CellState, now: number): void {
  const pass = beginPlacementPass(state, now);
  reserveForMoves(pass);
  observeHeadroom(pass);
  settlePreemptions(pass);
  const sorted = sortReadyStages(pass);
  for (const stage of sortByShares(state, { sorted, now })) {
    if (stage.waitingTasks === 0 || stage.job.outcome) continue;
    planStage(pass, stage);
  }
  planMoves(pass);
}

function planStage(pass: PlacementPass, stage: Stage): void {
  const service = pass.services.get(stage.job.spec.queue.service);
  if (!service) return;
  reserveHeadroom(pass, stage);
  const step = getStep(stage);
  const { gang } = step;
  const demand = getCapacityDemand(step);
  const hasAdvice = !stage.job.spec.queue.advice ||
    stage.advice.askedEndpoints.size > 0;
  const mayFit = demand.milliCores <= service.maxFree.milliCores &&
    demand.memoryMb <= service.maxFree.memoryMb &&
    mayFitBeside(pass, stage);
  // Cheap early exit: under load most stages fit nowhere.
  if (hasAdvice && !gang && !mayFit) return planPreemptions(pass, stage);
  if (!hasAdvice) return askAboutUnaskedEndpoints(pass, stage);
  if (!stage.job.isCommitted) return;
  const usable = listUsable(pass, service, stage);
  noteExemption(pass, stage, usable);
  if (gang) planGang(pass, stage, usable);
  else {
    planTasks(pass, stage, usable);
    planPreemptions(pass, stage);
  }
}

function planTasks(
  pass: PlacementPass,
  stage: Stage,
  usable: readonly Endpoint[],
): void {
  let allowance = countWithinQuota(pass.state, stage);
  if (allowance === 0) return;
  const slots = new Map<Endpoint, number>();
  for (const endpoint of usable) {
    const fittingCount = countFittingTasks(pass, endpoint, stage);
    if (fittingCount > 0) slots.set(endpoint, fittingCount);
  }
  if (slots.size === 0) {
    return askAboutUnaskedEndpoints(pass, stage);
  }
  const choice = findEndpointChoice(pass, stage);
  let isTicketMissing = false;
  for (const task of stage.tasks) {
    if (allowance <= 0) break;
    if (task.phase !== TaskPhase.Waiting || pass.now < task.notBefore) continue;
    if (pass.stoppingTasks.has(task.name)) continue;
    if (!mayTry(pass, stage, [task])) continue;
    const endpointsWithTicket = [...slots.keys()].filter((endpoint) =>
      hasTicket(pass, stage, endpoint)
    );
    if (endpointsWithTicket.length === 0) {
      isTicketMissing = slots.size > 0;
      break;
    }
    const preferred = selectPreferredRack(endpointsWithTicket, stage);
    const isTrial = isTrialNeeded(pass, { stage, task });
    const endpoint = isTrial
      ? chooseTrialEndpoint(pass, endpointsWithTicket)
      : chooseEndpoint(pass, stage, { task, endpoints: preferred, choice });
    if (!isTrial && waitForFaster(pass, stage, endpoint)) break;
    startTask(pass, stage, { task, endpoint, run: task.lastRun + 1 });
    if (isTrial) beginTrial(pass, stage, [endpoint]);
    allowance--;
    const slotsLeft = isTrial ? 0 : (slots.get(endpoint) ?? 0) - 1;
    if (slotsLeft > 0) slots.set(endpoint, slotsLeft);
    else slots.delete(endpoint);
  }
  if (isTicketMissing) {
    askAdvice(pass, stage, selectForTickets(stage, slots));
    reserveForTickets(pass, stage, { slots, allowance });
  }
}

/**
 * Reserves the room for which the tickets of a stage are asked, so that less urgent stages
 * do not take it before the answer.
 */
function reserveForTickets(
  pass: PlacementPass,
  stage: Stage,
  { slots, allowance }: {
    slots: ReadonlyMap<Endpoint, number>;
    allowance: number;
  },
): void {
  if (stage.advice.callsInFlight === 0) return;
  let missing = Math.min(stage.waitingTasks, allowance);
  const demand = getCapacityDemand(getStep(stage));
  for (const [endpoint, count] of slots) {
    for (let slot = 0; slot < count && missing > 0; slot++, missing--) {
      reserveCapacity(pass, endpoint, { demand });
    }
  }
}

/** Chooses the endpoint of a task that is not suspected of crashes. */
function chooseEndpoint(
  { state }: PlacementPass,
  stage: Stage,
  options: { task: Task; endpoints: Endpoint[]; choice: EndpointChoice },
): Endpoint {
  const { task, endpoints, choice } = options;
  if (isColocationSensitive(stage)) {
    return chooseLeastInterference(endpoints, { state, task });
  }
  return chooseAvoidingFailed(endpoints, { choice, task });
}

/** Restricts endpoints to the preferred rack if any of them is in it. */
function selectPreferredRack(endpoints: Endpoint[], stage: Stage): Endpoint[] {
  const { preferredRack } = getStep(stage);
  if (preferredRack === "") return endpoints;
  const inRack = endpoints.filter(({ info }) => info.rack === preferredRack);
  return inRack.length > 0 ? inRack : endpoints;
}

/** Avoids the endpoint on which the task failed last, if there is another. */
function chooseAvoidingFailed(
  endpoints: Endpoint[],
  options: { choice: EndpointChoice; task: Task },
): Endpoint {
  const { choice, task } = options;
  const otherEndpoints = endpoints.filter(({ info }) =>
    info.id !== task.avoidEndpoint
  );
  return choice.chooseEndpoint(
    otherEndpoints.length > 0 ? otherEndpoints : endpoints,
  );
}
