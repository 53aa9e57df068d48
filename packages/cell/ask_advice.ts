import { selectEndpointsToAsk } from "./advice_choice.ts";
import {
  MAX_ADVICE_BACKLOG_MS,
  MAX_ADVICE_ENDPOINTS,
  MIN_ENDPOINTS_PER_CALL,
  SPARE_ENTRY_FRACTION,
} from "./constants.ts";
import { listEligible, type PlacementPass } from "./placement_pass.ts";
import type { CellState } from "./state.ts";
import { type Endpoint, OrderKind, type Stage } from "./types.ts";

/**
 * Orders advice calls about these endpoints, unless calls for the stage are in
 * flight. A long list is split among entries that make no call now, because a
 * call takes longer with each endpoint that it names.
 */
export function askAdvice(
  pass: PlacementPass,
  stage: Stage,
  endpoints: readonly Endpoint[],
): void {
  const rules = stage.job.spec.queue.advice;
  const { advice } = stage;
  if (!rules || advice.callsInFlight > 0 || pass.now < advice.retryAt) return;
  if (endpoints.length === 0) return;
  const { state } = pass;
  for (const named of splitAmongCalls(endpoints, state.adviceBacklogsMs)) {
    const costMs = rules.decideMs + rules.perEndpointMs * named.length;
    if (!claimAdviceTime(state, costMs)) return;
    advice.callsInFlight++;
    state.output.orders.push({
      kind: OrderKind.AskAdvice,
      stage,
      endpoints: named.map(({ info }) => info.id),
      costMs,
    });
  }
}

/**
 * Orders advice calls about eligible endpoints that no answered call has named
 * yet: for a new stage, and when the allowed endpoints have too little room.
 */
export function askAboutUnaskedEndpoints(
  pass: PlacementPass,
  stage: Stage,
): void {
  const { queue } = stage.job.spec;
  const service = pass.services.get(queue.service);
  const { advice } = stage;
  const isWaiting = advice.callsInFlight > 0 || pass.now < advice.retryAt;
  if (!service || !queue.advice || isWaiting) return;
  // Load: hundreds of stages wait for a call that no entry can make yet.
  if (countFreeEntries(pass.state.adviceBacklogsMs) === 0) return;
  const unasked = listEligible(service, stage).filter(({ info }) =>
    !advice.askedEndpoints.has(info.id)
  );
  askAdvice(
    pass,
    stage,
    selectEndpointsToAsk(pass, stage, {
      endpoints: unasked,
      accepting: service.accepting,
    }),
  );
}

/** Counts the entries that can take another call. */
function countFreeEntries(backlogsMs: readonly number[]): number {
  let count = 0;
  for (const ms of backlogsMs) if (ms < MAX_ADVICE_BACKLOG_MS) count++;
  return count;
}

/** Splits the endpoints into one list for each call. */
function splitAmongCalls(
  endpoints: readonly Endpoint[],
  backlogsMs: readonly number[],
): Endpoint[][] {
  const idleEntries = backlogsMs.filter((ms) => ms === 0).length;
  const maxCalls = Math.max(1, Math.floor(idleEntries * SPARE_ENTRY_FRACTION));
  const wantedCalls = Math.floor(endpoints.length / MIN_ENDPOINTS_PER_CALL);
  const calls = Math.max(1, Math.min(wantedCalls, maxCalls));
  const length = Math.min(
    MAX_ADVICE_ENDPOINTS,
    Math.ceil(endpoints.length / calls),
  );
  return Array.from(
    { length: calls },
    (_, call) => endpoints.slice(call * length, (call + 1) * length),
  ).filter((named) => named.length > 0);
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
