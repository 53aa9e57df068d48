import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../base/mod.ts";
import type { EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { CallerConnection } from "./caller_connection.ts";
import {
  chooseConnectionToReplace,
  chooseLargestRequest,
} from "./choose_connection.ts";
import {
  CHECK_INTERVAL_MS,
  IMMEDIATE_SLICES,
  PARTIAL_FRACTION,
  SENT_AHEAD_FRACTION,
} from "./constants.ts";
import { LimitLog } from "./limit_log.ts";
import { ParseTurns } from "./parse_turns.ts";
import {
  type BodyRefusal,
  checkAnnouncedSize,
  hasBody,
  readBody,
} from "./request_body.ts";
import {
  type BodyAllowance,
  type ConnectionLimits,
  LimitName,
  type RefusalFormat,
} from "./types.ts";
import { listUnread } from "./unread_answers.ts";

/** Passes a request on; resolves once its answer has been written. */
export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => unknown;

/** The dependencies and settings of a `ConnectionGuard`. */
export interface ConnectionGuardParts {
  /** Name of the listening address in metrics and logs. */
  name: string;
  limits: ConnectionLimits;
  /** Returns how large the body of a request may be. */
  getBodyAllowance: (request: IncomingMessage) => BodyAllowance;
  refusals: RefusalFormat;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
}

/** Requests that were passed on keep their bytes until their answers are written. */
type RequestWithBody = IncomingMessage & { rawBody?: Uint8Array };

/**
 * Bounds what the callers of one listening address can make a process hold and do:
 * connections, requests, their bytes, and answers that are not read. A limit is checked
 * before work is done for a request; a request whose headers or body are incomplete is
 * not passed on.
 */
export class ConnectionGuard {
  readonly #parts: ConnectionGuardParts;
  readonly #turns: ParseTurns;
  readonly #connections = new Set<CallerConnection>();
  readonly #byStream = new Map<unknown, CallerConnection>();
  #requestCount = 0;
  /** Bytes of requests in process. */
  #heldBytes = 0;
  /** Bytes of incomplete requests. */
  #partialBytes = 0;
  readonly #limits: LimitLog;
  #cancelCheck: () => void = () => {};

  constructor(parts: ConnectionGuardParts) {
    this.#parts = parts;
    this.#turns = new ParseTurns(parts.clock);
    this.#limits = new LimitLog(parts);
  }

  /** Number of requests that were passed on and are not answered. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** Takes over the connections of a server and passes requests on. */
  watch(server: Server, listener: RequestListener): void {
    const [accept] = server.listeners("connection");
    server.removeAllListeners("connection");
    server.on("connection", (socket: Socket) => {
      const connection = this.#open(socket, this.#parts.clock.now());
      if (connection) accept.call(server, connection.stream.stream);
    });
    for (const event of ["request", "checkContinue"]) {
      const isWaiting = event === "checkContinue";
      server.on(event, (request, response) => {
        void this.#receive(request, { response, listener, isWaiting });
      });
    }
    server.on("checkExpectation", (request, response) => {
      this.#receiveExpectation(request, response);
    });
    this.#scheduleCheck();
  }

  /** Ends the checks and closes all connections; unsent answers are lost. */
  close(): void {
    this.#cancelCheck();
    for (const connection of [...this.#connections]) connection.stream.close();
  }

  /** Describes the use of the limits for a dump. */
  describe(): { connections: number; requests: number; requestBytes: number } {
    return {
      connections: this.#connections.size,
      requests: this.#requestCount,
      requestBytes: this.#heldBytes + this.#partialBytes,
    };
  }

  #open(socket: Socket, now: number): CallerConnection | undefined {
    const { limits } = this.#parts;
    if (this.#connections.size >= limits.connections) {
      this.#limits.note(LimitName.Connections);
      const oldest = chooseConnectionToReplace(this.#connections);
      if (!oldest) return void socket.destroy();
      this.#close(oldest);
    }
    const connection: CallerConnection = new CallerConnection(socket, {
      now,
      listener: {
        mayForward: () => this.#mayForward(connection),
        onWaiting: () => this.#forward(connection),
      },
    });
    this.#connections.add(connection);
    this.#byStream.set(connection.stream.stream, connection);
    connection.stream.stream.once("close", () => this.#drop(connection));
    return connection;
  }

  /**
   * Returns whether more of what a caller sent may be parsed. Part of the requests in
   * process is kept for callers that send one at a time.
   */
  #mayForward({ isClosing, answers }: CallerConnection): boolean {
    const { requests, requests_per_connection } = this.#parts.limits;
    const isShared = this.#requestCount < requests * SENT_AHEAD_FRACTION;
    return !isClosing &&
      answers.size < (isShared ? requests_per_connection : 1);
  }

  #drop(connection: CallerConnection): void {
    connection.isClosing = true;
    connection.answers.clear();
    this.#turns.remove(connection);
    this.#connections.delete(connection);
    this.#byStream.delete(connection.stream.stream);
    this.#partialBytes -= connection.chargedBytes;
    connection.chargedBytes = 0;
  }

  #close(connection: CallerConnection): void {
    this.#drop(connection);
    connection.stream.close();
  }

  /** Parses what a caller sent: ordinary requests at once, more than that in turns. */
  #forward(connection: CallerConnection): void {
    if (connection.isClosing) return;
    let hasMore = true;
    for (let n = 0; hasMore && n < IMMEDIATE_SLICES; n++) {
      if (!this.#turns.isIdle) break;
      hasMore = connection.forwardSlice();
    }
    if (hasMore) this.#turns.enqueue(connection);
    this.#charge(connection);
  }

  /** Counts the bytes of incomplete requests; makes room if there are too many. */
  #charge(connection: CallerConnection): void {
    if (connection.isClosing) return;
    const { partialBytes } = connection;
    this.#partialBytes += partialBytes - connection.chargedBytes;
    connection.chargedBytes = partialBytes;
    const limit = this.#parts.limits.request_bytes * PARTIAL_FRACTION;
    while (this.#partialBytes > limit) {
      const largest = chooseLargestRequest(this.#connections);
      // A single request is received, up to the limit of its body.
      if (!largest || largest.chargedBytes === this.#partialBytes) return;
      this.#limits.note(LimitName.RequestBytes);
      this.#close(largest);
    }
  }

  /** Takes a request whose headers are complete; undefined: it is dropped or refused. */
  #admit(
    request: IncomingMessage,
    response: ServerResponse,
  ): CallerConnection | undefined {
    const connection = this.#byStream.get(request.socket);
    // A connection that closes may still deliver what was parsed with its last request.
    if (!connection || connection.isClosing) return undefined;
    connection.answers.add(response);
    response.once("close", () => this.#noteAnswered(connection, response));
    const { requests, request_bytes } = this.#parts.limits;
    if (this.#requestCount >= requests) {
      this.#refuse(request, { response, limit: LimitName.Requests });
      return undefined;
    }
    if (this.#heldBytes + this.#partialBytes >= request_bytes) {
      this.#refuse(request, { response, limit: LimitName.RequestBytes });
      return undefined;
    }
    return connection;
  }

  async #receive(
    request: RequestWithBody,
    options: {
      response: ServerResponse;
      listener: RequestListener;
      /** The caller sends the body only after it is told to. */
      isWaiting: boolean;
    },
  ): Promise<void> {
    const { response, listener, isWaiting } = options;
    const connection = this.#admit(request, response);
    if (!connection) return;
    if (isWaiting) response.writeContinue();
    const received = this.#receiveWhole(connection, { request, response });
    if (received && !await received) return;
    const bytes = measureRequest(request);
    this.#requestCount++;
    this.#heldBytes += bytes;
    try {
      await listener(request, response);
    } finally {
      this.#requestCount--;
      this.#heldBytes -= bytes;
    }
  }

  /**
   * Receives a request's body, after that of the request before it, which may still be
   * refused. Resolves to false if either was; returns undefined if there is none.
   */
  #receiveWhole(
    connection: CallerConnection,
    options: { request: RequestWithBody; response: ServerResponse },
  ): Promise<boolean> | undefined {
    const former = connection.bodyReceived;
    if (!hasBody(options.request)) return former;
    const receive = () => this.#receiveBody(connection, options);
    const received = former
      ? former.then((isWhole) => isWhole && receive())
      : receive();
    connection.bodyReceived = received;
    void received.then(() => {
      if (connection.bodyReceived === received) {
        connection.bodyReceived = undefined;
      }
    });
    return received;
  }

  /** Receives a body; returns false if it was refused or the connection has ended. */
  async #receiveBody(
    connection: CallerConnection,
    options: { request: RequestWithBody; response: ServerResponse },
  ): Promise<boolean> {
    const { request, response } = options;
    const { bytes, isTrusted } = this.#parts.getBodyAllowance(request);
    const limits = { bytes, chunks: this.#parts.limits.body_chunks };
    const refusal = checkAnnouncedSize(request, limits);
    if (refusal) {
      this.#refuse(request, { response, ...refusal });
      return false;
    }
    const body = await readBody(request, {
      limits,
      onBytes: (length) => {
        if (!isTrusted) connection.bodyBytes += length;
        this.#charge(connection);
      },
    });
    connection.bodyBytes = 0;
    this.#charge(connection);
    if (body === undefined || connection.isClosing) return false;
    if ("limit" in body) {
      this.#refuse(request, { response, ...body });
      return false;
    }
    request.rawBody = body;
    return true;
  }

  #receiveExpectation(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (!this.#admit(request, response)) return;
    this.#refuse(request, {
      response,
      limit: LimitName.Expectation,
      detail: "the only expectation that is met is 100-continue",
    });
  }

  /** Answers a request that is not passed on, and closes its connection after that. */
  #refuse(
    request: IncomingMessage,
    options: { response: ServerResponse } & Partial<BodyRefusal> & {
      limit: LimitName;
    },
  ): void {
    const { response, limit } = options;
    const { name, refusals } = this.#parts;
    const detail = options.detail ??
      `this entry has no room for more (${name}, ${limit})`;
    const connection = this.#byStream.get(request.socket);
    if (connection) connection.isClosing = true;
    this.#limits.note(limit);
    const answer = refusals.renderRefusal({ request, limit, detail });
    const body = JSON.stringify(answer.body);
    response.writeHead(answer.status, {
      "content-type": "application/json",
      ...answer.headers,
      "content-length": new TextEncoder().encode(body).length,
      connection: "close",
    });
    response.end(body);
  }

  #noteAnswered(connection: CallerConnection, response: ServerResponse): void {
    connection.answers.delete(response);
    connection.hasBeenServed = true;
    connection.activeAt = this.#parts.clock.now();
    if (connection.stream.isHeldBack) this.#forward(connection);
  }

  #scheduleCheck(): void {
    const { clock, limits } = this.#parts;
    this.#cancelCheck = clock.schedule(() => {
      const now = clock.now();
      for (
        const { connection, limit } of listUnread(this.#connections, {
          limits,
          now,
        })
      ) {
        this.#limits.note(limit);
        this.#close(connection);
      }
      this.#limits.record(this.describe());
      this.#scheduleCheck();
    }, CHECK_INTERVAL_MS);
  }
}

/** Returns the bytes that a request holds while it is in process. */
function measureRequest({ url, rawHeaders, rawBody }: RequestWithBody): number {
  let bytes = (url?.length ?? 0) + (rawBody?.length ?? 0);
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}
