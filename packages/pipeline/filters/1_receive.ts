import { z } from "zod";
import { Buffer } from "node:buffer";
import {
  Cause,
  makeNotRunOutcome,
  type Outcome,
  WorkKind,
} from "../../base/mod.ts";
import { describeIssue } from "../../config/mod.ts";
import {
  MAX_GANG_TASKS,
  MAX_TASK_ACCELERATORS,
  MAX_TASK_CORES,
  MAX_TASK_MEMORY_MB,
  MAX_TIMEOUT_MS,
} from "../constants.ts";
import { Filter } from "../filter.ts";
import type { RequestContext } from "../types.ts";

const workRequestSchema = z.strictObject({
  kind: z.enum(WorkKind).default(WorkKind.Batch),
  tasks: z.number().int().min(1).max(MAX_GANG_TASKS).default(1),
  cores: z.number().positive().max(MAX_TASK_CORES).default(1),
  memory_mb: z.number().positive().max(MAX_TASK_MEMORY_MB).default(256),
  accelerators: z.number().int().min(0).max(MAX_TASK_ACCELERATORS).default(0),
  deadline: z.iso.datetime({ offset: true }).optional(),
  timeout_ms: z.number().int().min(1).max(MAX_TIMEOUT_MS).optional(),
  idempotent: z.boolean().default(false),
  payload: z.unknown().optional(),
}).refine((request) => !(request.deadline && request.timeout_ms), {
  message: "set `deadline` or `timeout_ms`, not both",
}).refine((request) => request.kind === WorkKind.Gang || request.tasks === 1, {
  message: "`tasks` above 1 requires kind `gang`",
});

/** Looks up the queue, then parses and validates the body. */
export class ReceiveFilter extends Filter {
  override readonly name = "receive";

  override apply(context: RequestContext): Outcome | undefined {
    const { raw, configuration } = context;
    if (!Object.hasOwn(configuration.queues, raw.queue)) {
      return makeNotRunOutcome(
        Cause.UnknownQueue,
        `no queue named \`${raw.queue}\``,
      );
    }
    context.queue = configuration.queues[raw.queue];
    const { max_body_bytes } = context.queue;
    if (Buffer.byteLength(raw.body) > max_body_bytes) {
      const detail = `the body may be at most ${max_body_bytes} bytes long`;
      return makeNotRunOutcome(Cause.BodyTooLarge, detail);
    }
    return parseBody(context);
  }
}

function parseBody(context: RequestContext): Outcome | undefined {
  let body: unknown;
  try {
    body = JSON.parse(context.raw.body);
  } catch {
    return makeNotRunOutcome(Cause.BadRequest, "the body is not JSON");
  }
  const parsed = workRequestSchema.safeParse(body);
  if (!parsed.success) {
    const problems = parsed.error.issues.map((issue) =>
      [issue.path.join("."), describeIssue(issue)].filter(Boolean).join(": ")
    );
    return makeNotRunOutcome(Cause.BadRequest, problems.join("; "));
  }
  context.request = { ...parsed.data, payload: parsed.data.payload ?? null };
  return undefined;
}
