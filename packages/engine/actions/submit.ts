import {
  Cause,
  computeRetryAfter,
  makeNotRunOutcome,
  type Outcome,
} from "../../base/mod.ts";
import { enqueueAttempt, finishAttempt, startAttempt } from "../attempts.ts";
import type { ActionContext, GangReservation } from "../state.ts";
import { type Attempt, AttemptStage, DecisionType } from "../types.ts";
import { startWaitingAttempts } from "./start_waiting.ts";

/** Admits an attempt and enqueues it, or refuses it at once. */
export function submitAttempt(
  context: ActionContext,
  attempt: Attempt,
): void {
  if (handleRepeatedAttempt(context, attempt.id)) return;
  const reservation = attempt.hold
    ? context.state.gangReservations.get(attempt.hold)
    : undefined;
  if (reservation) return startReservedAttempt(context, attempt, reservation);
  const outcome = refuseAttempt(context, attempt);
  if (outcome) {
    const { deadline } = attempt;
    return finishAttempt(context, attempt.id, { outcome, deadline });
  }
  enqueueAttempt(context, attempt, { refusals: 0, enqueuedAt: context.now });
  startWaitingAttempts(context);
}

/**
 * Handles a repeated submission of a known attempt, which gets its recorded
 * outcome if it has ended. Returns false for an unknown attempt.
 */
function handleRepeatedAttempt(context: ActionContext, id: string): boolean {
  const record = context.state.attempts.get(id);
  if (!record) return false;
  if (record.stage === AttemptStage.Ended) {
    const outcome = record.outcome!;
    context.decisions.push({ type: DecisionType.Finish, attempt: id, outcome });
  }
  return true;
}

/** Starts an attempt on one of the unused holds of its gang reservation. */
function startReservedAttempt(
  context: ActionContext,
  attempt: Attempt,
  reservation: GangReservation,
): void {
  const { state, now } = context;
  const hold = reservation.unusedHolds.pop();
  const endpoint = hold && state.endpoints.get(hold.endpoint);
  if (hold) {
    endpoint?.ledger.release(hold.id);
    state.dischargeTask(hold.id);
  }
  // The limit may have been lowered since the resources were reserved.
  const mayStart = endpoint && state.hasGrant(attempt.team);
  if (!mayStart || now >= attempt.deadline) {
    const outcome = makeNotRunOutcome(
      Cause.GangIncomplete,
      "gang reservation has no usable hold or grant, or the deadline has passed",
    );
    const { deadline } = attempt;
    return finishAttempt(context, attempt.id, { outcome, deadline });
  }
  startAttempt(context, attempt, { endpoint, refusals: 0, enqueuedAt: now });
}

/** Returns the outcome of an attempt that is refused; undefined if admitted. */
function refuseAttempt(
  context: ActionContext,
  attempt: Attempt,
): Outcome | undefined {
  const { state, now } = context;
  if (state.draining) {
    return makeRefusal(context, Cause.Draining, { waitMs: 0 });
  }
  // Attempts whose reservation still exists do not get here.
  if (attempt.hold) {
    return makeNotRunOutcome(
      Cause.GangIncomplete,
      "gang reservation has ended",
    );
  }
  if (now >= attempt.deadline) {
    return makeNotRunOutcome(Cause.DeadlinePassed, "deadline has passed");
  }
  const fitsAnyEndpoint = state.endpointList.some((endpoint) =>
    endpoint.ledger.couldFit(attempt.size)
  );
  if (!fitsAnyEndpoint) {
    return makeRefusal(context, Cause.NoEndpoint, { waitMs: 0 });
  }
  return refuseForQueue(context, attempt);
}

/**
 * Returns the outcome of an attempt that is refused because its queue is full
 * or its predicted end is after its deadline; undefined if it is admitted. The
 * prediction refuses no attempt that finds the queue empty.
 */
function refuseForQueue(
  context: ActionContext,
  attempt: Attempt,
): Outcome | undefined {
  const { state, now } = context;
  const ahead = state.queue.size;
  const waitMs = state.serviceTimes.predictWait(attempt.queue, {
    ahead,
    slots: state.capacity.slots,
  });
  if (state.queue.countInQueue(attempt.queue) >= attempt.maxQueued) {
    return makeRefusal(context, Cause.QueueFull, { waitMs: waitMs / 2 });
  }
  const serviceMs = state.serviceTimes.estimate(attempt.queue) ?? 0;
  if (ahead === 0 || now + waitMs + serviceMs <= attempt.deadline) {
    return undefined;
  }
  return makeRefusal(context, Cause.DeadlineUnreachable, {
    waitMs: waitMs / 2,
  });
}

const REFUSAL_DETAILS: Partial<Record<Cause, string>> = {
  [Cause.Draining]: "entry is draining",
  [Cause.NoEndpoint]: "no endpoint of this entry is large enough for the task",
  [Cause.QueueFull]: "queue is full",
  [Cause.DeadlineUnreachable]: "predicted end is after the deadline",
};

function makeRefusal(
  context: ActionContext,
  cause: Cause,
  options: { waitMs: number },
): Outcome {
  const retryAfterMs = computeRetryAfter(options.waitMs, context.state.random);
  return makeNotRunOutcome(cause, REFUSAL_DETAILS[cause] ?? "", {
    retryAfterMs,
  });
}
