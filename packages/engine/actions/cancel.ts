import { Cause, makeNotRunOutcome } from "../../base/mod.ts";
import { finishAttempt } from "../attempts.ts";
import type { ActionContext } from "../state.ts";
import { AttemptStage, DecisionType } from "../types.ts";

/**
 * Cancels an attempt. A waiting attempt ends at once; a running one is stopped
 * and ends when its endpoint reports the end; an unknown one is recorded as
 * cancelled, so that it never starts.
 */
export function cancelAttempt(
  context: ActionContext,
  event: { attempt: string; expires: number },
): void {
  const { state, decisions } = context;
  const record = state.attempts.get(event.attempt);
  if (record?.stage === AttemptStage.Ended) {
    // The task of an ended attempt may still run: a service's attempt ends as
    // soon as the service has started.
    stopRemainingTask(context, event.attempt);
    return;
  }
  if (record?.stage !== AttemptStage.Running) {
    const outcome = makeNotRunOutcome(
      Cause.Cancelled,
      "cancelled before it started",
    );
    const deadline = record?.attempt?.deadline ?? event.expires;
    return finishAttempt(context, event.attempt, { outcome, deadline });
  }
  record.cancelled = true;
  const endpoint = state.endpoints.get(record.endpoint!)?.ledger.spec;
  if (!endpoint) return;
  decisions.push({ type: DecisionType.Stop, endpoint, task: event.attempt });
}

/**
 * Repeats the outcome of an ended attempt. A waiting or unknown attempt ends as
 * not run, so that it never starts; a running one gets its outcome at its end.
 */
export function settleAttempt(
  context: ActionContext,
  event: { attempt: string; expires: number },
): void {
  const { state, decisions } = context;
  const { attempt } = event;
  const record = state.attempts.get(attempt);
  if (record?.stage === AttemptStage.Running) return;
  if (record?.stage === AttemptStage.Ended) {
    const outcome = record.outcome!;
    decisions.push({ type: DecisionType.Finish, attempt, outcome });
    return;
  }
  const outcome = makeNotRunOutcome(
    Cause.LateAttempt,
    "dropped before it started",
  );
  const deadline = record?.attempt?.deadline ?? event.expires;
  finishAttempt(context, attempt, { outcome, deadline });
}

/** Stops the task of an ended attempt if it still has a hold. */
function stopRemainingTask(context: ActionContext, task: string): void {
  for (const endpoint of context.state.endpointList) {
    if (!endpoint.ledger.get(task)) continue;
    const { spec } = endpoint.ledger;
    context.decisions.push({
      type: DecisionType.Stop,
      endpoint: spec,
      task,
    });
    return;
  }
}
