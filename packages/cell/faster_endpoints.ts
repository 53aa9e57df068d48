import { getCapacityDemand } from "../jobs/mod.ts";
import { selectEndpointsToAsk } from "./advice_choice.ts";
import { askAdvice } from "./ask_advice.ts";
import { USUAL_ENDPOINTS_ASKED } from "./constants.ts";
import { countFittingTasks, hasTicket } from "./placement.ts";
import { predictRunMs } from "./placement_memory.ts";
import {
  listEligible,
  measureFreeCores,
  type PlacementPass,
} from "./placement_pass.ts";
import { describeShape } from "./run_shape.ts";
import {
  canMeetDeadline,
  findSpeedTiers,
  getTier,
  MEDIAN,
  type SpeedTiers,
} from "./speed_tiers.ts";
import { mayGoOnWaiting } from "./speed_wait.ts";
import { findTask, getStep } from "./stages.ts";
import type { Endpoint, Run, Stage } from "./types.ts";
import { isUrgent } from "./urgency.ts";

/**
 * Decides whether an urgent task waits for a faster endpoint instead of starting on
 * this one. Load: urgent work finds room only on slow endpoints, where it is late. It
 * waits if it would miss its deadline here and is predicted to finish sooner on an
 * endpoint that becomes free, or that advice has to be asked for first.
 */
export function waitForFaster(
  pass: PlacementPass,
  stage: Stage,
  endpoint: Endpoint,
): boolean {
  if (!isUrgent(stage)) return false;
  const tiers = findSpeedTiers(pass, stage.job.spec.queue.service);
  const tier = tiers ? getTier(tiers, endpoint) : 0;
  if (!tiers || tier === 0) return false;
  const { now } = pass;
  const runMs = predictRunMs(pass.state, stage, { quantile: MEDIAN, now });
  const hereMs = runMs / tiers.speeds[tier];
  if (canMeetDeadline(stage, { runMs: hereMs, now })) return false;
  const fasterMs = runMs / tiers.speeds[0];
  const options = { tiers, tier, runMs };
  const toAsk = listToAsk(pass, stage, options);
  const sooner = toAsk.length > 0
    ? { endpoint: undefined, finishMs: estimateAdviceMs(stage) + fasterMs }
    : findNextRelease(pass, stage, options);
  if (!sooner || sooner.finishMs >= hereMs) return false;
  if (!mayGoOnWaiting(pass, stage, { hereMs, fasterMs })) return false;
  if (sooner.endpoint) pass.releases.claimed.add(sooner.endpoint);
  else askAbout(pass, stage, toAsk);
  return true;
}

/** Lists faster endpoints with room for which the stage has no valid ticket. */
function listToAsk(
  pass: PlacementPass,
  stage: Stage,
  { tiers, tier }: { tiers: SpeedTiers; tier: number },
): Endpoint[] {
  const { advice, job } = stage;
  const service = pass.services.get(job.spec.queue.service);
  if (!job.spec.queue.advice || !service) return [];
  if (pass.now < advice.retryAt) return [];
  return listEligible(service, stage).filter((endpoint) =>
    getTier(tiers, endpoint) < tier && service.accepting.has(endpoint) &&
    isWorthAsking(pass, stage, endpoint)
  );
}

/** Returns whether advice has not refused an endpoint that has room. */
function isWorthAsking(
  pass: PlacementPass,
  stage: Stage,
  endpoint: Endpoint,
): boolean {
  const { askedEndpoints, allowedEndpoints } = stage.advice;
  const { id } = endpoint.info;
  const isRefused = askedEndpoints.has(id) && !allowedEndpoints.has(id);
  return !isRefused && !hasTicket(pass, stage, endpoint) &&
    countFittingTasks(pass, endpoint, stage) > 0;
}

function askAbout(
  pass: PlacementPass,
  stage: Stage,
  endpoints: readonly Endpoint[],
): void {
  const accepting = new Set(endpoints);
  const options = { endpoints, accepting };
  askAdvice(pass, stage, selectEndpointsToAsk(pass, stage, options));
}

function estimateAdviceMs(stage: Stage): number {
  const { advice } = stage.job.spec.queue;
  if (!advice) return 0;
  return advice.decideMs + advice.perEndpointMs * USUAL_ENDPOINTS_ASKED;
}

/** Finds the faster endpoint on which a task would finish first, once it has room. */
function findNextRelease(
  pass: PlacementPass,
  stage: Stage,
  options: { tiers: SpeedTiers; tier: number; runMs: number },
): { endpoint: Endpoint; finishMs: number } | undefined {
  const { tiers, tier, runMs } = options;
  const service = pass.services.get(stage.job.spec.queue.service);
  const { milliCores } = getCapacityDemand(getStep(stage));
  let best: { endpoint: Endpoint; finishMs: number } | undefined;
  for (const endpoint of service ? listEligible(service, stage) : []) {
    const itsTier = getTier(tiers, endpoint);
    if (itsTier >= tier || pass.releases.claimed.has(endpoint)) continue;
    if (!service?.accepting.has(endpoint)) continue;
    if (isRefusedByAdvice(stage, endpoint)) continue;
    const speed = tiers.speeds[itsTier];
    const waitMs = predictRoomMs(pass, endpoint, { milliCores, speed });
    const finishMs = waitMs + runMs / speed;
    if (!best || finishMs < best.finishMs) best = { endpoint, finishMs };
  }
  return best;
}

function isRefusedByAdvice({ advice, job }: Stage, endpoint: Endpoint) {
  const { id } = endpoint.info;
  return job.spec.queue.advice !== undefined &&
    !advice.allowedEndpoints.has(id) && advice.askedEndpoints.has(id);
}

/** Predicts the time until an endpoint has this many cores free, in ms. */
export function predictRoomMs(
  pass: PlacementPass,
  endpoint: Endpoint,
  { milliCores, speed }: { milliCores: number; speed: number },
): number {
  const { byEndpoint } = pass.releases;
  let runs = byEndpoint.get(endpoint);
  if (!runs) {
    runs = [...endpoint.runs.values()].map((run) => ({
      restMs: predictRestMs(pass, { run, speed }),
      milliCores: run.demand.milliCores,
    })).sort((a, b) => a.restMs - b.restMs);
    byEndpoint.set(endpoint, runs);
  }
  let free = measureFreeCores(endpoint) -
    (pass.reservations.get(endpoint)?.milliCores ?? 0);
  for (const run of runs) {
    free += run.milliCores;
    if (free >= milliCores) return run.restMs;
  }
  return Number.POSITIVE_INFINITY;
}

/** Predicts how much longer a run takes its room, in ms. */
function predictRestMs(
  { state, now }: PlacementPass,
  { run, speed }: { run: Run; speed: number },
): number {
  const taskRef = findTask(state, run.task);
  if (!taskRef || getStep(taskRef.stage).longRunning) {
    return Number.POSITIVE_INFINITY;
  }
  return state.runTimes.predictRest(describeShape(taskRef.stage), {
    elapsedMs: now - run.startedAt,
    quantile: MEDIAN,
    speed,
    now,
  });
}
