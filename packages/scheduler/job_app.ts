import type { IncomingMessage } from "node:http";
import { type Context, Hono } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { z } from "zod";
import { decodeHeader, readBodyText, Verdict } from "../base/mod.ts";
import { EventCode } from "../events/mod.ts";
import type { RefusalAnswer } from "../connections/mod.ts";
import { CallerRefusals, type RefusedCall } from "./caller_refusals.ts";
import { createBodyLimit } from "./body_limit.ts";
import { MAX_JOB_BODY_BYTES } from "./constants.ts";
import type { SchedulerNode } from "./scheduler_node.ts";
import {
  AnswerKind,
  type CallerAnswer,
  type CallerRequest,
  type JobRequest,
} from "./types.ts";

/** A scheme, such as `Bearer`, and the key; a key may have spaces. */
const AUTHORIZATION = /^\S+ +(.*)$/;

const countSchema = z.int().min(0);

const stepSchema = z.strictObject({
  tasks: z.int().min(1),
  cores: z.number().min(0).default(1),
  memory_mb: countSchema.default(256),
  accelerators: countSchema.default(0),
  estimate_ms: countSchema.default(1_000),
  after: z.array(countSchema).default([]),
  checkpointing: z.boolean().default(false),
  gang: z.boolean().default(false),
  rack_local: z.boolean().default(false),
  required_label: z.string().default(""),
  preferred_rack: z.string().default(""),
  max_per_endpoint: countSchema.default(0),
  long_running: z.boolean().default(false),
  target_ms: countSchema.default(0),
  filling: z.boolean().default(false),
  max_away: countSchema.default(0),
});

const jobSchema = z.strictObject({
  payload: z.string().default(""),
  steps: z.array(stepSchema).min(1),
  occurrences: countSchema.default(0),
  first_run_at: countSchema.default(0),
  interval_ms: countSchema.default(0),
});

const STATUS_BY_ANSWER: Record<AnswerKind, ContentfulStatusCode> = {
  [AnswerKind.Accepted]: 202,
  [AnswerKind.State]: 200,
  [AnswerKind.Count]: 200,
  [AnswerKind.Cancelled]: 200,
  [AnswerKind.NoSuchJob]: 404,
  [AnswerKind.NoSuchQueue]: 404,
  [AnswerKind.Unauthenticated]: 401,
  [AnswerKind.BadRequest]: 400,
  [AnswerKind.Refused]: 429,
  [AnswerKind.IdTaken]: 409,
  [AnswerKind.Unavailable]: 503,
  [AnswerKind.Unknown]: 504,
};

/** Creates the HTTP interface for jobs that is the same on all platforms. */
export function createJobApp(node: SchedulerNode): Hono {
  const app = new Hono();
  const path = "/v1/queues/:queue/jobs/:id";
  app.put(path, createBodyLimit(MAX_JOB_BODY_BYTES), async (c) => {
    let text: string;
    try {
      text = await readBodyText(c.req);
    } catch (error) {
      const detail = `cannot read the body: ${String(error)}`;
      return sendAnswer(c, { kind: AnswerKind.BadRequest, detail });
    }
    const id = c.req.param("id");
    const parse = () => parseJob(id, text);
    return sendAnswer(
      c,
      await node.callerService.submit(readRequest(c), parse),
    );
  });
  app.get(path, async (c) => {
    const answer = await node.callerService.find(
      readRequest(c),
      c.req.param("id"),
    );
    return sendAnswer(c, answer);
  });
  app.delete(path, async (c) => {
    const answer = await node.callerService.cancel(
      readRequest(c),
      c.req.param("id"),
    );
    return sendAnswer(c, answer);
  });
  app.get(
    "/v1/queues/:queue/jobs",
    async (c) => sendAnswer(c, await node.callerService.count(readRequest(c))),
  );
  app.onError((error, c) => {
    node.parts.log.record(EventCode.InvariantBroken, {
      reason: String(error),
      stack: error.stack,
    });
    const detail = `internal error: ${error.message}`;
    return sendAnswer(c, { kind: AnswerKind.Unknown, detail });
  });
  return app;
}

/** Refusals in the form of the interface for jobs. */
export class JobRefusals extends CallerRefusals {
  protected override readCall(
    { method, url = "" }: IncomingMessage,
  ): RefusedCall {
    const request = { queue: "", host: "", path: url, key: "", deadlineMs: 0 };
    return { request, isSubmission: method === "PUT" };
  }

  protected override renderAnswer(answer: CallerAnswer): RefusalAnswer {
    return renderAnswer(answer);
  }
}

function parseJob(id: string, text: string): JobRequest | string {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return "the body is not JSON";
  }
  const parsed = jobSchema.safeParse(value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return `${issue.path.join(".") || "body"}: ${issue.message}`;
  }
  const { payload, steps, occurrences, first_run_at, interval_ms } =
    parsed.data;
  return {
    id,
    payload,
    occurrences,
    firstRunAt: first_run_at,
    intervalMs: interval_ms,
    steps: steps.map((step) => ({
      tasks: step.tasks,
      demand: {
        milliCores: Math.round(step.cores * 1_000),
        memoryMb: step.memory_mb,
        accelerators: step.accelerators,
      },
      estimateMs: step.estimate_ms,
      after: step.after,
      checkpointing: step.checkpointing,
      gang: step.gang,
      rackLocal: step.rack_local,
      requiredLabel: step.required_label,
      preferredRack: step.preferred_rack,
      maxPerEndpoint: step.max_per_endpoint,
      speculative: false,
      longRunning: step.long_running,
      targetMs: step.target_ms,
      isFilling: step.filling,
      maxAway: step.max_away,
    })),
  };
}

function readRequest(c: Context): CallerRequest {
  const authorization = decodeHeader(c.req.header("authorization") ?? "");
  const [, key = ""] = AUTHORIZATION.exec(authorization) ?? [];
  return {
    queue: c.req.param("queue"),
    host: "",
    path: c.req.path,
    key,
    deadlineMs: 0,
  };
}

function sendAnswer(c: Context, answer: CallerAnswer): Response {
  const { status, body, headers } = renderAnswer(answer);
  return c.json(body, status, headers);
}

function renderAnswer(
  answer: CallerAnswer,
): RefusalAnswer & { status: ContentfulStatusCode; body: object } {
  const headers: Record<string, string> = {};
  if (answer.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(answer.retryAfterMs / 1_000));
  }
  const status = STATUS_BY_ANSWER[answer.kind];
  const body = status < 300
    ? { state: answer.state, waiting: answer.count, outcome: answer.kind }
    : {
      verdict: answer.kind === AnswerKind.Unknown
        ? Verdict.MayHaveRun
        : Verdict.NotRun,
      cause: answer.kind,
      detail: answer.detail,
      retry_after_ms: answer.retryAfterMs,
    };
  return { status, body, headers };
}
