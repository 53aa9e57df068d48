import { createHash } from "node:crypto";
import { Agent, request } from "undici";
import { v7 as makeUuid } from "uuid";

const agent = new Agent({ connections: 512, pipelining: 1 });

/** A request of a test client and its outcome. */
export interface ClientRecord {
  /** Id that the task's answer repeats; by default empty for several tasks. */
  ref: string;
  team: string;
  queue: string;
  tasks: number;
  sentAt: number;
  endedAt: number;
  /** HTTP status; 0 when the connection failed. */
  status: number;
  verdict: string;
  cause: string;
  detail: string;
  retryAfter: string | undefined;
  /** Violations in the answer: damaged, duplicated or of another request. */
  violations: string[];
}

/** A request for a test client to send. */
export interface ClientRequest {
  url: string;
  team: string;
  queue: string;
  kind?: string;
  tasks?: number;
  runMs: number;
  timeoutMs: number;
  cores?: number;
  memoryMb?: number;
  /** API key; by default the team's key in the examples. */
  key?: string;
  idempotencyKey?: string;
  ref?: string;
  /** Further fields of the payload. */
  extra?: Record<string, unknown>;
}

/** Sends a request, waits for its answer and checks it. */
export async function sendRequest(
  options: ClientRequest,
): Promise<ClientRecord> {
  const tasks = options.tasks ?? 1;
  const ref = options.ref ?? (tasks === 1 ? makeUuid() : "");
  const payload = { ref, run_ms: options.runMs, ...options.extra };
  const record: ClientRecord = {
    ref,
    team: options.team,
    queue: options.queue,
    tasks,
    sentAt: Date.now(),
    endedAt: 0,
    status: 0,
    verdict: "may_have_run",
    cause: "connection_lost",
    detail: "",
    retryAfter: undefined,
    violations: [],
  };
  try {
    const response = await request(
      `${options.url}/v1/queues/${options.queue}/work`,
      {
        dispatcher: agent,
        method: "POST",
        headers: makeHeaders(options),
        body: JSON.stringify({
          kind: options.kind ?? "batch",
          tasks,
          cores: options.cores ?? 1,
          memory_mb: options.memoryMb ?? 512,
          timeout_ms: options.timeoutMs,
          payload,
        }),
        headersTimeout: options.timeoutMs + 10_000,
      },
    );
    record.status = response.statusCode;
    record.retryAfter = response.headers["retry-after"] as string | undefined;
    readAnswer(record, await response.body.json(), payload);
  } catch (error) {
    const code = (error as { code?: string }).code ?? "";
    record.detail = `${code} ${String(error)}`;
    if (code === "ECONNREFUSED") record.verdict = "not_run";
  }
  record.endedAt = Date.now();
  return record;
}

function makeHeaders(options: ClientRequest): Record<string, string> {
  const key = options.key ??
    `bbh.${options.team}.example-secret-of-${options.team}`;
  const headers: Record<string, string> = {
    "content-type": "application/json",
    authorization: `Bearer ${key}`,
  };
  if (options.idempotencyKey) {
    headers["idempotency-key"] = options.idempotencyKey;
  }
  return headers;
}

function readAnswer(
  record: ClientRecord,
  // deno-lint-ignore no-explicit-any
  body: any,
  payload: unknown,
): void {
  record.verdict = body.verdict;
  record.cause = body.cause;
  record.detail = body.detail ?? "";
  if (body.verdict !== "ran") return;
  const digest = createHash("sha256").update(JSON.stringify(payload))
    .digest("hex");
  if (body.answers.length !== record.tasks) {
    record.violations.push(`${body.answers.length} answers`);
  }
  const tasks = new Set(
    body.answers.map((taskAnswer: { task: string }) => taskAnswer.task),
  );
  if (tasks.size !== body.answers.length) {
    record.violations.push("duplicate answer");
  }
  for (const answer of body.answers) {
    const reported = JSON.parse(answer.body);
    if (reported.ref !== record.ref) {
      record.violations.push("answer of another request");
    }
    if (reported.digest !== digest) {
      record.violations.push("answer does not match the payload");
    }
  }
}
