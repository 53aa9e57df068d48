import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { CallerStream, type CallerStreamListener } from "./caller_stream.ts";
import type { ConnectionUse } from "./choose_connection.ts";
import type { Parseable } from "./parse_turns.ts";

/** One open connection of a caller, and what it holds. */
export class CallerConnection implements ConnectionUse, Parseable {
  readonly stream: CallerStream;
  /** Answers that are not complete, in the order of their requests. */
  readonly answers = new Set<ServerResponse>();
  activeAt: number;
  hasBeenServed = false;
  /** A body is being received; resolves to whether it has arrived in whole. */
  bodyReceived: Promise<boolean> | undefined;
  /** Bytes of that body. */
  bodyBytes = 0;
  /** `partialBytes` as last counted for all connections together. */
  chargedBytes = 0;
  /** Since when answers wait to be sent, by the clock in ms, if any do. */
  unsentSince: number | undefined;
  /** No further request is taken. */
  isClosing = false;

  constructor(
    socket: Socket,
    options: { now: number; listener: CallerStreamListener },
  ) {
    this.activeAt = options.now;
    this.stream = new CallerStream(socket, options.listener);
  }

  get isServing(): boolean {
    return this.answers.size > (this.bodyReceived ? 1 : 0);
  }

  /** Bytes that are held for a request that has not arrived in whole. */
  get partialBytes(): number {
    return this.bodyBytes + this.stream.waitingBytes;
  }

  /** Parses one slice; returns whether there is more that may be parsed now. */
  forwardSlice(): boolean {
    return this.stream.forwardSlice();
  }

  /** Returns the bytes of answers that wait to be sent. */
  measureUnsent(): number {
    let bytes = this.stream.unsentBytes;
    for (const answer of this.answers) {
      // The answer to the oldest request writes to the connection itself.
      if (!answer.socket) bytes += answer.writableLength;
    }
    return bytes;
  }

  /** Notes when answers began to wait to be sent. Returns for how long they do, in ms. */
  noteUnsent(bytes: number, now: number): number {
    if (bytes === 0) this.unsentSince = undefined;
    else this.unsentSince ??= now;
    return this.unsentSince === undefined ? 0 : now - this.unsentSince;
  }
}
