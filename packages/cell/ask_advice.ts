import { MAX_ADVICE_BACKLOG_MS } from "./constants.ts";
import type { Candidates, PlacementPass } from "./placement_pass.ts";
import type { CellState } from "./state.ts";
import { type Endpoint, OrderKind, type Stage } from "./types.ts";

/** Maximum number of endpoints in one advice call. */
const MAX_ADVICE_ENDPOINTS = 100;

/**
 * Orders an advice call about these endpoints. A stage has at most one call in
 * flight.
 */
export function askAdvice(
  pass: PlacementPass,
  stage: Stage,
  endpoints: Endpoint[],
): void {
  const rules = stage.job.spec.queue.advice;
  const { advice } = stage;
  if (!rules || advice.isAsking || pass.now < advice.retryAt) return;
  if (endpoints.length === 0) return;
  const endpointsToAsk = endpoints.slice(0, MAX_ADVICE_ENDPOINTS);
  const costMs = rules.decideMs + rules.perEndpointMs * endpointsToAsk.length;
  if (!claimAdviceTime(pass.state, costMs)) return;
  advice.isAsking = true;
  pass.state.output.orders.push({
    kind: OrderKind.AskAdvice,
    stage,
    endpoints: endpointsToAsk.map(({ info }) => info.id),
    costMs,
  });
}

/**
 * Adds a call to the entry with the shortest backlog of advice calls; returns
 * false if all backlogs are full. If the available entries make calls more
 * slowly than stages need them, the stages wait in the cell, in priority order,
 * and not in the first-in, first-out queue of the policy service.
 */
function claimAdviceTime(state: CellState, costMs: number): boolean {
  const { adviceBacklogsMs } = state;
  const shortestMs = Math.min(...adviceBacklogsMs);
  if (shortestMs >= MAX_ADVICE_BACKLOG_MS) return false;
  adviceBacklogsMs[adviceBacklogsMs.indexOf(shortestMs)] += costMs;
  return true;
}

/**
 * Orders an advice call about the eligible endpoints that no answered call has
 * named yet. Used when the allowed endpoints have too little free capacity.
 */
export function askAboutUnaskedEndpoints(
  pass: PlacementPass,
  stage: Stage,
  candidates: Candidates,
): void {
  const unasked = candidates.eligible.filter(({ info }) =>
    !stage.advice.askedEndpoints.has(info.id)
  );
  askAdvice(pass, stage, unasked);
}
