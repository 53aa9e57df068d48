import { createHash } from "node:crypto";
import { Agent, request } from "undici";
import { v7 as makeUuid } from "uuid";

const agent = new Agent({ connections: 512, pipelining: 1 });

/** One request of a test client, and what came of it. */
export interface ClientRecord {
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
  /** Faults of the answer: not whole, not its own. */
  faults: string[];
}

/** What to send. */
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
  key?: string;
  idempotencyKey?: string;
  ref?: string;
  extra?: Record<string, unknown>;
}

/** Sends one request, waits for its answer and checks that it is whole. */
export async function sendRequest(
  wanted: ClientRequest,
): Promise<ClientRecord> {
  const tasks = wanted.tasks ?? 1;
  const ref = wanted.ref ?? (tasks === 1 ? makeUuid() : "");
  const payload = { ref, run_ms: wanted.runMs, ...wanted.extra };
  const record: ClientRecord = {
    ref,
    team: wanted.team,
    queue: wanted.queue,
    tasks,
    sentAt: Date.now(),
    endedAt: 0,
    status: 0,
    verdict: "may_have_run",
    cause: "connection_lost",
    detail: "",
    retryAfter: undefined,
    faults: [],
  };
  try {
    const response = await request(
      `${wanted.url}/v1/queues/${wanted.queue}/work`,
      {
        dispatcher: agent,
        method: "POST",
        headers: makeHeaders(wanted),
        body: JSON.stringify({
          kind: wanted.kind ?? "batch",
          tasks,
          cores: wanted.cores ?? 1,
          memory_mb: wanted.memoryMb ?? 512,
          timeout_ms: wanted.timeoutMs,
          payload,
        }),
        headersTimeout: wanted.timeoutMs + 10_000,
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

function makeHeaders(wanted: ClientRequest): Record<string, string> {
  const key = wanted.key ??
    `bbh.${wanted.team}.example-secret-of-${wanted.team}`;
  const headers: Record<string, string> = {
    "content-type": "application/json",
    authorization: `Bearer ${key}`,
  };
  if (wanted.idempotencyKey) {
    headers["idempotency-key"] = wanted.idempotencyKey;
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
    record.faults.push(`${body.answers.length} answers`);
  }
  const tasks = new Set(body.answers.map((one: { task: string }) => one.task));
  if (tasks.size !== body.answers.length) record.faults.push("doubled answer");
  for (const answer of body.answers) {
    const told = JSON.parse(answer.body);
    if (told.ref !== record.ref) record.faults.push("answer of other work");
    if (told.digest !== digest) record.faults.push("answer is not whole");
  }
}
