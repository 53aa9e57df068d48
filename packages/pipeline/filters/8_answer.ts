import { Cause, type Outcome, Verdict } from "../../base/mod.ts";

/** HTTP status of each cause. */
export const CAUSE_STATUS: Record<Cause, number> = {
  [Cause.Completed]: 200,
  [Cause.Started]: 201,
  [Cause.BadRequest]: 400,
  [Cause.Unauthenticated]: 401,
  [Cause.Forbidden]: 403,
  [Cause.UnknownQueue]: 404,
  [Cause.NotFound]: 404,
  [Cause.Cancelled]: 409,
  [Cause.DuplicateInProgress]: 409,
  [Cause.KeyHistoryUnknown]: 409,
  [Cause.BodyTooLarge]: 413,
  [Cause.Impossible]: 422,
  [Cause.KeyReused]: 422,
  [Cause.EndpointLost]: 502,
  [Cause.EntryLost]: 502,
  [Cause.WorkFails]: 502,
  [Cause.DeadlineUnreachable]: 503,
  [Cause.QueueFull]: 503,
  [Cause.EntryBusy]: 503,
  [Cause.Draining]: 503,
  [Cause.NoEndpoint]: 503,
  [Cause.NotReady]: 503,
  [Cause.EndpointRefused]: 503,
  [Cause.LateAttempt]: 503,
  [Cause.GangIncomplete]: 503,
  [Cause.DeadlinePassed]: 504,
};

/** An HTTP answer with a JSON body. */
export interface HttpAnswer {
  status: number;
  headers: Record<string, string>;
  body: Record<string, unknown>;
}

/**
 * Renders an outcome as an HTTP answer: the result of work that ran, or else
 * problem details (RFC 9457). `id` is the id of the work.
 */
export function renderOutcome(id: string, outcome: Outcome): HttpAnswer {
  const status = CAUSE_STATUS[outcome.cause];
  const headers: Record<string, string> = {
    "baobabhead-verdict": outcome.verdict,
    "baobabhead-work": id,
  };
  if (outcome.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(outcome.retryAfterMs / 1_000));
  }
  if (outcome.verdict === Verdict.Ran) {
    headers["content-type"] = "application/json";
    return { status, headers, body: renderResult(id, outcome) };
  }
  headers["content-type"] = "application/problem+json";
  return { status, headers, body: renderProblem(id, { outcome, status }) };
}

function renderResult(id: string, outcome: Outcome): Record<string, unknown> {
  return {
    work: id,
    verdict: outcome.verdict,
    cause: outcome.cause,
    answers: outcome.answers.map((answer) => ({
      task: answer.task,
      endpoint: answer.endpoint,
      status: answer.status,
      content_type: answer.contentType,
      encoding: answer.encoding,
      body: answer.body,
    })),
  };
}

function renderProblem(
  id: string,
  options: { outcome: Outcome; status: number },
): Record<string, unknown> {
  const { outcome, status } = options;
  return {
    type: `urn:baobabhead:cause:${outcome.cause}`,
    title: outcome.cause.replaceAll("_", " "),
    status,
    detail: outcome.detail,
    work: id,
    verdict: outcome.verdict,
    cause: outcome.cause,
    retry_after_ms: outcome.retryAfterMs,
  };
}
