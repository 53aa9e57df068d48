import { match } from "ts-pattern";
import {
  type Answer,
  Cause,
  makeMayHaveRunOutcome,
  makeRanOutcome,
} from "../../base/mod.ts";
import { type TaskResult, TaskResultKind } from "../../endpoints/mod.ts";
import { finishAttempt, releaseTask, retryAttempt } from "../attempts.ts";
import type { EndpointState } from "../endpoint_state.ts";
import { HoldReason } from "../ledger.ts";
import type { ActionContext } from "../state.ts";
import { type AttemptRecord, AttemptStage } from "../types.ts";
import { updateEjection } from "./eject.ts";
import { startWaitingAttempts } from "./start_waiting.ts";

/** Lowest HTTP status of an answer that counts as a failure of the endpoint. */
const MIN_FAILURE_STATUS = 500;

/** Ends or retries an attempt whose exchange with its endpoint has ended. */
export function endTask(
  context: ActionContext,
  event: { attempt: string; result: TaskResult },
): void {
  const { state } = context;
  const attemptRecord = state.attempts.get(event.attempt);
  if (attemptRecord?.stage !== AttemptStage.Running) return;
  const endpoint = state.endpoints.get(attemptRecord.endpoint!);
  const endedTask: EndedTask = { attemptRecord, endpoint, id: event.attempt };
  match(event.result)
    .with({ kind: TaskResultKind.NotStarted }, ({ detail, reachable }) => {
      if (endpoint && !reachable) endpoint.reachable = false;
      releaseTask(state, event.attempt, { endpoint });
      retryAttempt(context, attemptRecord, { detail });
    })
    .with({ kind: TaskResultKind.Answered }, ({ answer }) => {
      handleAnswer(context, endedTask, answer);
    })
    .with({ kind: TaskResultKind.Running }, ({ answer }) => {
      changeHoldReason(context, endedTask, { reason: HoldReason.Service });
      finishEndedTask(
        context,
        endedTask,
        makeRanOutcome([answer], Cause.Started),
      );
    })
    .with({ kind: TaskResultKind.Stopped }, ({ detail }) => {
      releaseTask(state, event.attempt, { endpoint });
      finishEndedTask(
        context,
        endedTask,
        makeMayHaveRunOutcome(Cause.Cancelled, detail),
      );
    })
    .with({ kind: TaskResultKind.Unknown }, ({ detail }) => {
      changeHoldReason(context, endedTask, { reason: HoldReason.Uncertain });
      endpoint?.recordResult(false);
      finishEndedTask(
        context,
        endedTask,
        makeMayHaveRunOutcome(Cause.EndpointLost, detail),
      );
    })
    .exhaustive();
  if (endpoint) updateEjection(context, endpoint);
  startWaitingAttempts(context);
}

interface EndedTask {
  id: string;
  attemptRecord: AttemptRecord;
  endpoint: EndpointState | undefined;
}

function handleAnswer(
  context: ActionContext,
  endedTask: EndedTask,
  answer: Answer,
): void {
  const { state, now } = context;
  const { attemptRecord, endpoint, id } = endedTask;
  const succeeded = answer.status < MIN_FAILURE_STATUS;
  endpoint?.recordResult(succeeded);
  if (succeeded) {
    state.serviceTimes.observe(
      attemptRecord.attempt!.queue,
      now - attemptRecord.startedAt!,
    );
  }
  releaseTask(state, id, { endpoint });
  finishEndedTask(context, endedTask, makeRanOutcome([answer]));
}

/**
 * Changes the reason of a hold whose task runs or may still run. The hold stays
 * until the endpoint's listings no longer contain the task.
 */
function changeHoldReason(
  context: ActionContext,
  endedTask: EndedTask,
  options: { reason: HoldReason },
): void {
  const hold = endedTask.endpoint?.ledger.get(endedTask.id);
  if (!hold) return;
  hold.reason = options.reason;
  hold.since = context.now;
  hold.missing = 0;
}

function finishEndedTask(
  context: ActionContext,
  endedTask: EndedTask,
  outcome: Parameters<typeof finishAttempt>[2]["outcome"],
): void {
  const { deadline } = endedTask.attemptRecord.attempt!;
  finishAttempt(context, endedTask.id, { outcome, deadline });
}
