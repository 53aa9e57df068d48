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
  const record = state.attempts.get(event.attempt);
  if (record?.stage !== AttemptStage.Running) return;
  const endpoint = state.endpoints.get(record.endpoint!);
  const ended: EndedTask = { record, endpoint, id: event.attempt };
  match(event.result)
    .with({ kind: TaskResultKind.NotStarted }, ({ detail, reachable }) => {
      if (endpoint && !reachable) endpoint.reachable = false;
      releaseTask(state, event.attempt, { endpoint });
      retryAttempt(context, record, { detail });
    })
    .with({ kind: TaskResultKind.Answered }, ({ answer }) => {
      handleAnswer(context, ended, answer);
    })
    .with({ kind: TaskResultKind.Running }, ({ answer }) => {
      changeHoldReason(context, ended, { reason: HoldReason.Service });
      finishEndedTask(context, ended, makeRanOutcome([answer], Cause.Started));
    })
    .with({ kind: TaskResultKind.Stopped }, ({ detail }) => {
      releaseTask(state, event.attempt, { endpoint });
      finishEndedTask(
        context,
        ended,
        makeMayHaveRunOutcome(Cause.Cancelled, detail),
      );
    })
    .with({ kind: TaskResultKind.Unknown }, ({ detail }) => {
      changeHoldReason(context, ended, { reason: HoldReason.Uncertain });
      endpoint?.recordResult(false);
      finishEndedTask(
        context,
        ended,
        makeMayHaveRunOutcome(Cause.EndpointLost, detail),
      );
    })
    .exhaustive();
  if (endpoint) updateEjection(context, endpoint);
  startWaitingAttempts(context);
}

interface EndedTask {
  id: string;
  record: AttemptRecord;
  endpoint: EndpointState | undefined;
}

function handleAnswer(
  context: ActionContext,
  ended: EndedTask,
  answer: Answer,
): void {
  const { state, now } = context;
  const { record, endpoint, id } = ended;
  const succeeded = answer.status < MIN_FAILURE_STATUS;
  endpoint?.recordResult(succeeded);
  if (succeeded) {
    state.serviceTimes.observe(record.attempt!.queue, now - record.startedAt!);
  }
  releaseTask(state, id, { endpoint });
  finishEndedTask(context, ended, makeRanOutcome([answer]));
}

/**
 * Keeps the hold of a task that runs or may still run, under a new reason.
 * Listings release it later.
 */
function changeHoldReason(
  context: ActionContext,
  ended: EndedTask,
  options: { reason: HoldReason },
): void {
  const hold = ended.endpoint?.ledger.get(ended.id);
  if (!hold) return;
  hold.reason = options.reason;
  hold.since = context.now;
  hold.missing = 0;
}

function finishEndedTask(
  context: ActionContext,
  ended: EndedTask,
  outcome: Parameters<typeof finishAttempt>[2]["outcome"],
): void {
  const { deadline } = ended.record.attempt!;
  finishAttempt(context, ended.id, { outcome, deadline });
}
