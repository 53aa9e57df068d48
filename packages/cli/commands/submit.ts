import { callEntry, ENTRY_HELP, ENTRY_OPTIONS } from "../entry_api.ts";
import { CommandError } from "../errors.ts";
import { requireOption } from "../require_option.ts";
import { type Command, type CommandInput, ExitCode } from "../types.ts";

const DEFAULT_TIMEOUT_MS = 60_000;
/** Time to wait for the outcome after the deadline of the work, in ms. */
const OUTCOME_GRACE_MS = 5_000;

/** Submits a piece of work. */
export const submitCommand: Command = {
  name: "submit",
  summary: "submit a piece of work and wait for its outcome",
  usage: "baobabhead submit --queue QUEUE [--payload JSON] ...",
  options: {
    ...ENTRY_OPTIONS,
    queue: { type: "string" },
    kind: { type: "string" },
    tasks: { type: "string" },
    cores: { type: "string" },
    "memory-mb": { type: "string" },
    accelerators: { type: "string" },
    "timeout-ms": { type: "string" },
    payload: { type: "string" },
    idempotent: { type: "boolean" },
    "idempotency-key": { type: "string" },
    async: { type: "boolean" },
  },
  help: [
    "--queue QUEUE           queue for the work",
    "--kind KIND             batch (default), service or gang",
    "--tasks N               number of tasks of a gang",
    "--cores N --memory-mb N --accelerators N   resources of one task",
    "--timeout-ms N          milliseconds to the deadline (default 60000)",
    "--payload JSON          passed to the endpoint unchanged",
    "--idempotent            the work is idempotent: it may run twice",
    "--idempotency-key KEY   a UUID of version 7, the same for each retry",
    "--async                 print the id of the work without waiting",
    ...ENTRY_HELP,
  ],
  async run(input) {
    const queue = encodeURIComponent(requireOption(input, "queue"));
    const timeoutMs = readNumber(input, "timeout-ms") ?? DEFAULT_TIMEOUT_MS;
    const answer = await callEntry(input, {
      method: "POST",
      path: `/v1/queues/${queue}/work`,
      body: buildWorkBody(input, timeoutMs),
      headers: buildHeaders(input),
      timeoutMs: timeoutMs + OUTCOME_GRACE_MS,
    });
    const isSuccess = answer.status < 300;
    const text = JSON.stringify(answer.body, null, 2);
    return {
      code: isSuccess ? ExitCode.Ok : ExitCode.Failed,
      text: isSuccess ? text : undefined,
      error: isSuccess ? undefined : text,
      json: answer.body,
    };
  },
};

function buildWorkBody(
  input: CommandInput,
  timeoutMs: number,
): Record<string, unknown> {
  return {
    kind: input.values.kind,
    tasks: readNumber(input, "tasks"),
    cores: readNumber(input, "cores"),
    memory_mb: readNumber(input, "memory-mb"),
    accelerators: readNumber(input, "accelerators"),
    timeout_ms: timeoutMs,
    idempotent: input.values.idempotent,
    payload: readPayload(input),
  };
}

function buildHeaders(input: CommandInput): Record<string, string> {
  const headers: Record<string, string> = {};
  const key = input.values["idempotency-key"];
  if (key) headers["idempotency-key"] = String(key);
  if (input.values.async) headers.prefer = "respond-async";
  return headers;
}

function readNumber(input: CommandInput, name: string): number | undefined {
  const text = input.values[name];
  if (text === undefined) return undefined;
  const value = Number(text);
  if (Number.isFinite(value)) return value;
  throw new CommandError(`--${name} must be a number`, ExitCode.Usage);
}

function readPayload(input: CommandInput): unknown {
  const text = input.values.payload;
  if (text === undefined) return null;
  try {
    return JSON.parse(String(text));
  } catch {
    throw new CommandError("--payload must be JSON", ExitCode.Usage);
  }
}
