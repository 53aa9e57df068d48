import { Cause, makeNotRunOutcome, type Outcome } from "../base/mod.ts";
import { MAX_REFUSALS, OUTCOME_RETENTION_MS } from "./constants.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { HoldReason } from "./ledger.ts";
import type { ActionContext, EngineState } from "./state.ts";
import {
  type Attempt,
  type AttemptRecord,
  AttemptStage,
  DecisionType,
} from "./types.ts";

/** Ends an attempt and keeps its outcome until the record expires. */
export function finishAttempt(
  context: ActionContext,
  id: string,
  options: { outcome: Outcome; deadline: number },
): void {
  const { state, now, decisions } = context;
  const { outcome, deadline } = options;
  state.queue.remove(id);
  state.attempts.set(id, {
    stage: AttemptStage.Ended,
    refusals: 0,
    cancelled: false,
    outcome,
    endedAt: now,
    expires: Math.max(now, deadline) + OUTCOME_RETENTION_MS,
  });
  decisions.push({ type: DecisionType.Finish, attempt: id, outcome });
}

/** Adds an attempt to the queue. */
export function enqueueAttempt(
  context: ActionContext,
  attempt: Attempt,
  options: { refusals: number; enqueuedAt: number },
): void {
  const { state } = context;
  state.queue.add({
    id: attempt.id,
    team: attempt.team,
    queue: attempt.queue,
    urgent: attempt.urgent,
    deadline: attempt.deadline,
    sequence: state.sequence++,
    attempt,
    ...options,
  });
  state.attempts.set(attempt.id, {
    stage: AttemptStage.Waiting,
    attempt,
    cancelled: false,
    expires: attempt.deadline,
    ...options,
  });
}

/** Starts an attempt on an endpoint into which the task fits. */
export function startAttempt(
  context: ActionContext,
  attempt: Attempt,
  options: { endpoint: EndpointState; refusals: number; enqueuedAt: number },
): void {
  const { state, now, decisions } = context;
  const { endpoint, refusals, enqueuedAt } = options;
  state.queue.remove(attempt.id);
  state.chargeTask(attempt.id, attempt);
  endpoint.ledger.reserve({
    id: attempt.id,
    size: attempt.size,
    team: attempt.team,
    starter: state.incarnation,
    reason: HoldReason.Started,
    since: now,
    missing: 0,
    listed: false,
  });
  state.attempts.set(attempt.id, {
    stage: AttemptStage.Running,
    attempt,
    endpoint: endpoint.ledger.spec.id,
    startedAt: now,
    enqueuedAt,
    refusals,
    cancelled: false,
    expires: attempt.deadline,
  });
  state.starts += 1;
  decisions.push({
    type: DecisionType.Start,
    attempt,
    endpoint: endpoint.ledger.spec,
    waitedMs: now - enqueuedAt,
    labels: {
      team: attempt.team,
      starter: state.incarnation,
      queue: attempt.queue,
    },
  });
}

/**
 * Puts an attempt that an endpoint did not start back into the queue, or ends
 * it after a cancellation, during a drain and after too many refusals.
 */
export function retryAttempt(
  context: ActionContext,
  record: AttemptRecord,
  options: { detail: string },
): void {
  const attempt = record.attempt!;
  const refusals = record.refusals + 1;
  const { deadline } = attempt;
  if (record.cancelled) {
    const outcome = makeNotRunOutcome(
      Cause.Cancelled,
      "cancelled before it started",
    );
    return finishAttempt(context, attempt.id, { outcome, deadline });
  }
  if (context.state.draining || refusals > MAX_REFUSALS) {
    const outcome = makeNotRunOutcome(Cause.EndpointRefused, options.detail);
    return finishAttempt(context, attempt.id, { outcome, deadline });
  }
  const enqueuedAt = record.enqueuedAt ?? context.now;
  enqueueAttempt(context, attempt, { refusals, enqueuedAt });
}

/**
 * Releases the hold of a task that certainly does not run, and discharges the
 * task from its team's grant.
 */
export function releaseTask(
  state: EngineState,
  id: string,
  options: { endpoint: EndpointState | undefined },
): void {
  options.endpoint?.ledger.release(id);
  state.dischargeTask(id);
}
