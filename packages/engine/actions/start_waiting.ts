import { Cause, makeNotRunOutcome } from "../../base/mod.ts";
import { finishAttempt, startAttempt } from "../attempts.ts";
import { PROBE_DELAY_MS } from "../constants.ts";
import type { EndpointState } from "../endpoint_state.ts";
import type { ActionContext } from "../state.ts";
import { EndpointStatus, type WaitingAttempt } from "../types.ts";

/** Starts waiting attempts as long as endpoints and grants are available. */
export function startWaitingAttempts(context: ActionContext): void {
  const { state, now } = context;
  const blockedTeams = new Set<string>();
  const computeLoad = (team: string) => state.computeLoadPerShare(team);
  while (state.endpointsWithFreeSlots.list.length > 0) {
    const waiting = state.queue.peek(computeLoad, blockedTeams);
    if (!waiting) return;
    if (now >= waiting.deadline) {
      expireWaiting(context, waiting);
      continue;
    }
    const endpoint = findEndpoint(context, waiting);
    if (!endpoint) {
      // The team's later attempts wait behind this one.
      blockedTeams.add(waiting.team);
      continue;
    }
    const { attempt, refusals, enqueuedAt } = waiting;
    startAttempt(context, attempt, { endpoint, refusals, enqueuedAt });
  }
}

/** Ends a waiting attempt whose deadline has passed. */
export function expireWaiting(
  context: ActionContext,
  waiting: WaitingAttempt,
): void {
  const outcome = makeNotRunOutcome(
    Cause.DeadlinePassed,
    "deadline passed before a task could start",
  );
  const { deadline } = waiting;
  finishAttempt(context, waiting.id, { outcome, deadline });
}

/**
 * Returns an endpoint for an attempt; undefined without a grant or a fitting
 * endpoint. The choice of an ejected endpoint makes the attempt its probe and
 * delays the next probe.
 */
function findEndpoint(
  context: ActionContext,
  waiting: WaitingAttempt,
): EndpointState | undefined {
  const { state, now } = context;
  if (!state.hasGrant(waiting.team)) return undefined;
  const endpoint = state.placement.choose(waiting.attempt, {
    endpoints: state.endpointsWithFreeSlots.list,
    canUse: (candidate) => candidate.canStart(now),
  });
  if (endpoint?.status === EndpointStatus.Ejected) {
    endpoint.nextProbeAt = now + PROBE_DELAY_MS;
  }
  return endpoint;
}
