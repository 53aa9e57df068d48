import { Buffer } from "node:buffer";
import { Agent, type Dispatcher } from "undici";
import {
  BaobabheadError,
  decodeDocument,
  NotSentError,
  UnknownEffectError,
} from "../base/mod.ts";

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

/** Length of `https://`; every URL has at least one more character. */
const SCHEME_LENGTH = 8;

/** Status and parsed body of an answer, whatever the status is. */
export interface JsonAnswer {
  status: number;
  /** `undefined` when the body is empty or is not JSON in UTF-8. */
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
    this.#agent = new Agent({
      connections: options.connections,
      connect: { timeout: options.connectTimeoutMs },
      localAddress: options.localAddress,
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
    const slash = call.url.indexOf("/", SCHEME_LENGTH);
    const pathStart = slash < 0 ? call.url.length : slash;
    const collector = new AnswerCollector(call.timeoutMs);
    this.#agent.dispatch({
      origin: call.url.slice(0, pathStart),
      path: call.url.slice(pathStart) || "/",
      method: call.method,
      headers: { "content-type": "application/json", ...call.headers },
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
      headersTimeout: 0,
      bodyTimeout: 0,
    }, collector.makeHandler());
    const { status, text } = await collector.answer;
    return { status, body: parseJson(text) };
  }
}

/** Thrown when a call has no complete answer within its timeout. */
class AnswerTimeoutError extends BaobabheadError {}

/**
 * Collects one answer. Costs less than undici's `request`, which makes a stream
 * for each body: an owner of hundreds of endpoints reads a thousand small answers
 * a second.
 */
class AnswerCollector {
  readonly answer: Promise<{ status: number; text: string }>;
  readonly #timer: NodeJS.Timeout;
  #resolve!: (answer: { status: number; text: string }) => void;
  #reject!: (error: Error) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #hasTimedOut = false;
  #isSettled = false;
  #status = 0;
  readonly #chunks: Buffer[] = [];

  constructor(timeoutMs: number) {
    this.answer = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    // Timers run before sockets are read: if this process is late, the answer may have
    // arrived, and is read before the immediate runs.
    this.#timer = setTimeout(
      () => setImmediate(() => this.#endWait()),
      timeoutMs,
    );
  }

  /** Makes the handler of undici for the call. */
  makeHandler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => this.#beginRequest(controller),
      onResponseStart: (_controller, status) => {
        this.#status = status;
      },
      onResponseData: (_controller, chunk) => {
        this.#chunks.push(chunk);
      },
      onResponseEnd: () => this.#finish(),
      onResponseError: (_controller, error) => {
        this.#isSettled = true;
        clearTimeout(this.#timer);
        this.#reject(error);
      },
    };
  }

  #endWait(): void {
    if (this.#isSettled) return;
    this.#hasTimedOut = true;
    const error = new AnswerTimeoutError("timed out");
    this.#controller?.abort(error);
    // The call may still wait for a connection.
    this.#reject(error);
  }

  /** Prevents that a call is sent whose caller was told that it timed out. */
  #beginRequest(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (!this.#hasTimedOut) return;
    controller.abort(new AnswerTimeoutError("timed out"));
  }

  #finish(): void {
    this.#isSettled = true;
    clearTimeout(this.#timer);
    const bytes = this.#chunks.length === 1
      ? this.#chunks[0]
      : Buffer.concat(this.#chunks);
    this.#resolve({ status: this.#status, text: decodeDocument(bytes) ?? "" });
  }
}

/** Returns whether a call failed before anything was sent to the server. */
export function isNotSent(error: unknown): boolean {
  const { code = "", syscall } = (error ?? {}) as {
    code?: string;
    syscall?: string;
  };
  // An open connection can fail with the same code, after something was sent.
  const isOfOpenConnection = syscall !== undefined && syscall !== "connect";
  return NOT_SENT_ERROR_CODES.has(code) && !isOfOpenConnection;
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
