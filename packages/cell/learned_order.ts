import { USUAL_ENDPOINTS_ASKED } from "./constants.ts";
import { predictRunMs } from "./placement_memory.ts";
import type { PlacementPass } from "./placement_pass.ts";
import { OrderName, sortByDue } from "./policies.ts";
import { canMeetDeadline, findSpeedTiers, MEDIAN } from "./speed_tiers.ts";
import { getStep } from "./stages.ts";
import type { Stage } from "./types.ts";
import { hasUrgentNeed } from "./urgency.ts";

/**
 * Sorts the ready stages into the order in which they are served. Load of the order
 * `learned`: a backlog of one priority, in which work that can no longer be in time
 * takes the room of work that still can.
 */
export function sortReadyStages(pass: PlacementPass): Stage[] {
  const { state, now } = pass;
  const { names, order } = state.policies;
  if (names.order !== OrderName.Learned) {
    return order.sortStages(state.ready, now);
  }
  const late = new Set<Stage>();
  for (const stage of state.ready) {
    if (isPredictedLate(pass, stage)) late.add(stage);
  }
  return sortByDue(state.ready, { now, isLate: (stage) => late.has(stage) });
}

/**
 * Returns whether a stage that started now would finish past its deadline, by the median
 * run time on the endpoints that it belongs on.
 */
function isPredictedLate(pass: PlacementPass, stage: Stage): boolean {
  const { state, now } = pass;
  if (getStep(stage).longRunning) return false;
  if (now > stage.dueAt) return true;
  const { service } = stage.job.spec.queue;
  const speed = hasUrgentNeed(stage)
    ? findSpeedTiers(pass, service)?.speeds[0] ?? 1
    : 1;
  const runMs = predictRunMs(state, stage, { quantile: MEDIAN, now }) / speed;
  return !canMeetDeadline(stage, { runMs: runMs + getAdviceMs(stage), now });
}

/** Returns the duration of the advice call that a stage still needs, in ms. */
function getAdviceMs({ advice, job }: Stage): number {
  const rules = job.spec.queue.advice;
  if (!rules || advice.askedEndpoints.size > 0) return 0;
  return rules.decideMs + rules.perEndpointMs * USUAL_ENDPOINTS_ASKED;
}
