import type { AdviceRules } from "../jobs/mod.ts";
import { selectEndpointsToAsk } from "./advice_choice.ts";
import {
  MAX_ADVICE_BACKLOG_MS,
  MAX_ADVICE_ENDPOINTS,
  MIN_ENDPOINTS_PER_CALL,
  SHORT_CALL_FRACTION,
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
  if (!canAsk(pass.state, queue.advice)) return;
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

/** Returns whether an entry can make a call with these rules now. */
function canAsk({ adviceBacklogsMs }: CellState, rules: AdviceRules): boolean {
  const shortestMs = rules.decideMs + rules.perEndpointMs;
  return countFreeEntries(adviceBacklogsMs) >
    countEntriesKeptFrom(shortestMs, adviceBacklogsMs);
}

/** Counts the entries that can take another call. */
function countFreeEntries(backlogsMs: readonly number[]): number {
  let count = 0;
  for (const ms of backlogsMs) if (ms < MAX_ADVICE_BACKLOG_MS) count++;
  return count;
}

/**
 * Counts the free entries that a call leaves to others. Load: gangs whose calls take most
 * of a second occupy every entry, while urgent work waits for calls of some milliseconds.
 */
function countEntriesKeptFrom(
  costMs: number,
  backlogsMs: readonly number[],
): number {
  const isShort = costMs < MAX_ADVICE_BACKLOG_MS;
  return isShort ? 0 : Math.floor(backlogsMs.length * SHORT_CALL_FRACTION);
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
 * false if no entry can take it. If the available entries make calls more
 * slowly than stages need them, the stages wait in the cell, in priority order,
 * and not in the first-in, first-out queue of the policy service.
 */
function claimAdviceTime(state: CellState, costMs: number): boolean {
  const { adviceBacklogsMs } = state;
  const isTaken = countFreeEntries(adviceBacklogsMs) <=
    countEntriesKeptFrom(costMs, adviceBacklogsMs);
  if (isTaken) return false;
  const shortestMs = Math.min(...adviceBacklogsMs);
  adviceBacklogsMs[adviceBacklogsMs.indexOf(shortestMs)] += costMs;
  return true;
}
