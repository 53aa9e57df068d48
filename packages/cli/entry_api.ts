import process from "node:process";
import { request } from "undici";
import { encodeHeader } from "../base/mod.ts";
import {
  CALL_TIMEOUT_MS,
  DEFAULT_ENTRY,
  ENTRY_VARIABLE,
  KEY_VARIABLE,
} from "./constants.ts";
import { CommandError } from "./errors.ts";
import { type CommandInput, ExitCode } from "./types.ts";

/** Options shared by all commands that call an entry. */
export const ENTRY_OPTIONS = {
  entry: { type: "string" },
  key: { type: "string" },
} as const;

/** Help lines for the options of `ENTRY_OPTIONS`. */
export const ENTRY_HELP = [
  `--entry URL   URL of the entry to call (default ${DEFAULT_ENTRY}, or ` +
  `$${ENTRY_VARIABLE})`,
  `--key KEY     key of the caller or operator (default $${KEY_VARIABLE})`,
];

/** An entry's answer to a call. */
export interface EntryAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  // deno-lint-ignore no-explicit-any
  body: any;
}

/** An HTTP call to an entry. */
export interface EntryCall {
  method: "GET" | "POST" | "PUT" | "DELETE";
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
  timeoutMs?: number;
}

/**
 * Calls an entry with the URL and key of the command line or the environment.
 *
 * @throws {CommandError} when the call fails, the answer is not JSON or the
 * entry rejects the key
 */
export async function callEntry(
  input: CommandInput,
  call: EntryCall,
): Promise<EntryAnswer> {
  const entry = String(
    input.values.entry ?? process.env[ENTRY_VARIABLE] ?? DEFAULT_ENTRY,
  );
  const key = String(input.values.key ?? process.env[KEY_VARIABLE] ?? "");
  const answer = await sendEntryCall(entry, call, { key });
  if (answer.status !== 401) return answer;
  throw new CommandError(
    `${entry} rejects the key; give --key or set $${KEY_VARIABLE}`,
    ExitCode.Unreachable,
  );
}

/**
 * Calls an entry and returns the body of its answer.
 *
 * @throws {CommandError} as `callEntry`, and when the entry refuses the call
 */
export async function fetchFromEntry(
  input: CommandInput,
  call: EntryCall,
): Promise<EntryAnswer["body"]> {
  const { status, body } = await callEntry(input, call);
  if (status < 300) return body;
  const reason = body?.error ?? body?.detail ?? JSON.stringify(body);
  throw new CommandError(
    `Cannot ${call.method} ${call.path}: status ${status}, ${reason}`,
    ExitCode.Failed,
  );
}

async function sendEntryCall(
  entryUrl: string,
  call: EntryCall,
  options: { key: string },
): Promise<EntryAnswer> {
  try {
    const response = await request(`${entryUrl}${call.path}`, {
      method: call.method,
      headers: {
        "content-type": "application/json",
        authorization: encodeHeader(`Bearer ${options.key}`),
        ...call.headers,
      },
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
      signal: AbortSignal.timeout(call.timeoutMs ?? CALL_TIMEOUT_MS),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const body = await response.body.json();
    const { statusCode: status, headers } = response;
    return { status, headers, body };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CommandError(
      `Cannot call ${entryUrl}: ${reason}`,
      ExitCode.Unreachable,
    );
  }
}
