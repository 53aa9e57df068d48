import type { Candidates, Pass } from "./placement_pass.ts";
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
  advice.isAsking = true;
  const named = endpoints.slice(0, MAX_ADVICE_ENDPOINTS);
  pass.state.output.orders.push({
    kind: OrderKind.AskAdvice,
    stage,
    endpoints: named.map(({ info }) => info.id),
    costMs: rules.decideMs + rules.perEndpointMs * named.length,
  });
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
