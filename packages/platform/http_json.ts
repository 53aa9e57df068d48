import { EventEmitter } from "node:events";
import { Agent, request } from "undici";
import { NotSentError, UnknownEffectError } from "../base/mod.ts";

/** One HTTP call with a JSON body in each direction. */
export interface JsonCall {
  method: "GET" | "POST" | "DELETE";
  url: string;
  body?: unknown;
  headers?: Record<string, string>;
  timeoutMs: number;
}

const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Any answer to a call: its status and its parsed body. */
export interface JsonAnswer {
  status: number;
  /** Nothing when the body is empty or is not JSON. */
  body: unknown;
}

/** How long an unused connection is kept; opening one is dear. */
const KEEP_ALIVE_MS = 60_000;

/** JSON over HTTP with errors that say whether the call may have had effect. */
export class HttpJsonClient {
  readonly #agent: Agent;

  constructor(
    options: {
      connections: number;
      connectTimeoutMs: number;
      /** IP address that calls come from. */
      localAddress?: string;
    },
  ) {
    const { connectTimeoutMs: timeout, localAddress } = options;
    this.#agent = new Agent({
      connections: options.connections,
      connect: { timeout, localAddress },
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
    });
  }

  /**
   * Sends one call and returns the parsed body of a 2xx answer.
   *
   * @throws {NotSentError} when nothing reached the other side
   * @throws {UnknownEffectError} for any other failure
   */
  async send(call: JsonCall): Promise<unknown> {
    const { status, body } = await this.exchange(call);
    if (status < 300 && body !== undefined) return body;
    throw new UnknownEffectError(
      `Cannot use the answer of ${call.url}: status ${status}`,
    );
  }

  /**
   * Sends one call and returns its answer, whatever its status.
   *
   * @throws {NotSentError} when nothing reached the other side
   * @throws {UnknownEffectError} when no whole answer came
   */
  async exchange(call: JsonCall): Promise<JsonAnswer> {
    try {
      return await this.#exchangeOnce(call);
    } catch (error) {
      throw classifyError(call, error);
    }
  }

  /** Closes idle connections and fails open calls. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #exchangeOnce(call: JsonCall): Promise<JsonAnswer> {
    // Cheaper than an abort signal, and its timer ends with the call.
    const signal = new EventEmitter();
    const timer = setTimeout(() => signal.emit("abort"), call.timeoutMs);
    try {
      const response = await request(call.url, {
        dispatcher: this.#agent,
        method: call.method,
        headers: { "content-type": "application/json", ...call.headers },
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
        signal,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      const text = await response.body.text();
      return { status: response.statusCode, body: parseJson(text) };
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Tells whether a failed call certainly never reached the other side. */
export function isNotSent(error: unknown): boolean {
  const code = (error as { code?: string } | null)?.code ?? "";
  return NOT_SENT_CODES.has(code);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function classifyError(call: JsonCall, error: unknown): Error {
  const reason = error instanceof Error ? error.message : String(error);
  const message = `Cannot call ${call.url}: ${reason}`;
  if (isNotSent(error)) return new NotSentError(message, { cause: error });
  return new UnknownEffectError(message, { cause: error });
}
