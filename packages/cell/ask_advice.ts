import { MAX_LANE_MS } from "./constants.ts";
import type { Candidates, Pass } from "./placement_pass.ts";
import type { CellState } from "./state.ts";
import { type Endpoint, OrderKind, type Stage } from "./types.ts";

/** Most endpoints that one call for advice may name. */
const MAX_ADVICE_ENDPOINTS = 100;

/** Orders a call for advice about some endpoints, one at a time for a stage. */
export function askAdvice(
  pass: Pass,
  stage: Stage,
  endpoints: Endpoint[],
): void {
  const rules = stage.job.spec.queue.advice;
  const { advice } = stage;
  if (!rules || advice.isAsking || pass.now < advice.retryAt) return;
  if (endpoints.length === 0) return;
  const named = endpoints.slice(0, MAX_ADVICE_ENDPOINTS);
  const costMs = rules.decideMs + rules.perEndpointMs * named.length;
  if (!claimLane(pass.state, costMs)) return;
  advice.isAsking = true;
  pass.state.output.orders.push({
    kind: OrderKind.AskAdvice,
    stage,
    endpoints: named.map(({ info }) => info.id),
    costMs,
  });
}

/**
 * Answers the load "more calls than the entries that are left can make": what
 * would wait at the policy service waits here, where it is sorted.
 */
function claimLane(state: CellState, costMs: number): boolean {
  const { adviceLanes } = state;
  const least = Math.min(...adviceLanes);
  if (least >= MAX_LANE_MS) return false;
  adviceLanes[adviceLanes.indexOf(least)] += costMs;
  return true;
}

/** Asks for endpoints not named yet, when those allowed have no room. */
export function askFurther(
  pass: Pass,
  stage: Stage,
  candidates: Candidates,
): void {
  const unasked = candidates.serving.filter(({ info }) =>
    !stage.advice.asked.has(info.id)
  );
  askAdvice(pass, stage, unasked);
}
