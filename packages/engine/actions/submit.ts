import {
  Cause,
  computeRetryAfter,
  makeNotRun,
  type Outcome,
} from "../../base/mod.ts";
import { enqueueAttempt, finishAttempt, startAttempt } from "../attempts.ts";
import type { ActionContext, GangHold } from "../state.ts";
import { type Attempt, AttemptStage, DecisionType } from "../types.ts";
import { pumpQueue } from "./pump.ts";

/** Takes an attempt in, or refuses it at once. */
export function submitAttempt(
  context: ActionContext,
  attempt: Attempt,
): void {
  if (sendKnownOutcome(context, attempt.id)) return;
  const hold = attempt.hold ? context.state.holds.get(attempt.hold) : undefined;
  if (hold) return startHeldAttempt(context, attempt, hold);
  const outcome = refuseAttempt(context, attempt);
  if (outcome) {
    const { deadline } = attempt;
    return finishAttempt(context, attempt.id, { outcome, deadline });
  }
  enqueueAttempt(context, attempt, { refusals: 0, enqueuedAt: context.now });
  pumpQueue(context);
}

/** A repeated message gets the outcome that was decided before. */
function sendKnownOutcome(context: ActionContext, id: string): boolean {
  const known = context.state.attempts.get(id);
  if (!known) return false;
  if (known.stage === AttemptStage.Ended) {
    const outcome = known.outcome!;
    context.decisions.push({ type: DecisionType.Finish, attempt: id, outcome });
  }
  return true;
}

function startHeldAttempt(
  context: ActionContext,
  attempt: Attempt,
  hold: GangHold,
): void {
  const { state, now } = context;
  const place = hold.places.pop();
  const endpoint = place && state.endpoints.get(place.endpoint);
  if (place) {
    endpoint?.ledger.release(place.id);
    state.dischargeTask(place.id);
  }
  // The limit may have been lowered since the room was reserved.
  const mayStart = endpoint && state.hasGrant(attempt.team);
  if (!mayStart || now >= attempt.deadline) {
    const outcome = makeNotRun(Cause.GangIncomplete, "reservation is used up");
    const { deadline } = attempt;
    return finishAttempt(context, attempt.id, { outcome, deadline });
  }
  startAttempt(context, attempt, { endpoint, refusals: 0, enqueuedAt: now });
}

function refuseAttempt(
  context: ActionContext,
  attempt: Attempt,
): Outcome | undefined {
  const { state, now } = context;
  if (state.draining) {
    return makeRefusal(context, Cause.Draining, { waitMs: 0 });
  }
  if (attempt.hold) {
    return makeNotRun(Cause.GangIncomplete, "reservation has ended");
  }
  if (now >= attempt.deadline) {
    return makeNotRun(Cause.DeadlinePassed, "deadline has passed");
  }
  const canHold = state.endpointList.some((endpoint) =>
    endpoint.ledger.couldFit(attempt.size)
  );
  if (!canHold) return makeRefusal(context, Cause.NoEndpoint, { waitMs: 0 });
  return refuseForWait(context, attempt);
}

function refuseForWait(
  context: ActionContext,
  attempt: Attempt,
): Outcome | undefined {
  const { state, now } = context;
  const ahead = state.queue.size;
  const waitMs = state.times.predictWait(attempt.queue, {
    ahead,
    slots: state.capacity.slots,
  });
  if (state.queue.countInQueue(attempt.queue) >= attempt.maxQueued) {
    return makeRefusal(context, Cause.QueueFull, { waitMs: waitMs / 2 });
  }
  const serviceMs = state.times.estimate(attempt.queue) ?? 0;
  if (ahead === 0 || now + waitMs + serviceMs <= attempt.deadline) {
    return undefined;
  }
  return makeRefusal(context, Cause.DeadlineUnreachable, {
    waitMs: waitMs / 2,
  });
}

const REFUSAL_DETAILS: Partial<Record<Cause, string>> = {
  [Cause.Draining]: "entry is draining",
  [Cause.NoEndpoint]: "no endpoint here can hold the task",
  [Cause.QueueFull]: "queue is full",
  [Cause.DeadlineUnreachable]: "predicted wait is longer than the deadline",
};

function makeRefusal(
  context: ActionContext,
  cause: Cause,
  options: { waitMs: number },
): Outcome {
  const retryAfterMs = computeRetryAfter(options.waitMs, context.state.random);
  return makeNotRun(cause, REFUSAL_DETAILS[cause] ?? "", { retryAfterMs });
}
