import { EventEmitter } from "node:events";
import { Agent, request } from "undici";
import { NotSentError, UnknownEffectError } from "../base/mod.ts";

/** An HTTP call with an optional JSON body. */
export interface JsonCall {
  method: "GET" | "POST" | "DELETE";
  url: string;
  body?: unknown;
  headers?: Record<string, string>;
  timeoutMs: number;
}

/** Error codes of failed connection attempts: no request was sent. */
const NOT_SENT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Status and parsed body of an answer, whatever the status is. */
export interface JsonAnswer {
  status: number;
  /** `undefined` when the body is empty or is not JSON. */
  body: unknown;
}

/**
 * How long an idle connection stays open, in milliseconds; opening a new one
 * is expensive.
 */
const KEEP_ALIVE_MS = 60_000;

/**
 * HTTP client for JSON calls. Its errors distinguish calls that were never
 * sent from calls that may have taken effect.
 */
export class HttpJsonClient {
  readonly #agent: Agent;

  constructor(
    options: {
      connections: number;
      connectTimeoutMs: number;
      /** Source IP address of the calls. */
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
   * @throws {NotSentError} when no connection could be opened
   * @throws {UnknownEffectError} for any other failure, such as another status
   *   or a body that is not JSON
   */
  async send(call: JsonCall): Promise<unknown> {
    const { status, body } = await this.exchange(call);
    if (status < 300 && body !== undefined) return body;
    throw new UnknownEffectError(
      `Cannot use the answer of ${call.url}: expected 2xx and JSON, got ${status}`,
    );
  }

  /**
   * Sends one call and returns its answer, whatever its status.
   *
   * @throws {NotSentError} when no connection could be opened
   * @throws {UnknownEffectError} when no complete answer arrives
   */
  async exchange(call: JsonCall): Promise<JsonAnswer> {
    try {
      return await this.#exchangeOnce(call);
    } catch (error) {
      throw classifyError(call, error);
    }
  }

  /** Closes idle connections and fails the calls in flight. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #exchangeOnce(call: JsonCall): Promise<JsonAnswer> {
    // undici accepts an event emitter as signal; it costs less than an
    // AbortSignal, and its timer is cleared when the call ends.
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

/** Returns whether a call failed before anything was sent to the server. */
export function isNotSent(error: unknown): boolean {
  const code = (error as { code?: string } | null)?.code ?? "";
  return NOT_SENT_ERROR_CODES.has(code);
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
