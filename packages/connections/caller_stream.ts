import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { SLICE_BYTES } from "./constants.ts";

/** What a `CallerStream` tells its owner, and asks. */
export interface CallerStreamListener {
  /** Returns whether more of what the caller sent may be parsed. */
  mayForward: () => boolean;
  /** Called when bytes wait to be parsed. */
  onWaiting: () => void;
}

/** Methods of a socket that an HTTP server uses besides those of a stream. */
interface SocketMethods {
  remoteAddress: string | undefined;
  remotePort: number | undefined;
  setTimeout: (ms: number, callback?: () => void) => unknown;
  setKeepAlive: (isEnabled?: boolean, delayMs?: number) => unknown;
  setNoDelay: (isEnabled?: boolean) => unknown;
  destroySoon: () => void;
}

/**
 * A caller's connection as the HTTP server sees it. Bytes stay in the socket until they
 * may be parsed, so that the caller's system holds back what it sends ahead.
 */
export class CallerStream {
  /** Passed to the HTTP server instead of the socket. */
  readonly stream: Duplex & SocketMethods;
  readonly #socket: Socket;
  readonly #listener: CallerStreamListener;
  /** The HTTP server takes more. */
  #isWanted = false;
  /** More was to be parsed when that was not allowed. */
  isHeldBack = false;

  constructor(socket: Socket, listener: CallerStreamListener) {
    this.#socket = socket;
    this.#listener = listener;
    this.stream = this.#createStream();
    socket.on("readable", () => this.#listener.onWaiting());
    socket.once("end", () => this.stream.push(null));
    socket.once("close", () => this.stream.destroy());
    socket.on("error", (error) => this.stream.destroy(error));
    socket.on("timeout", () => this.stream.emit("timeout"));
  }

  /** Bytes that were received and not parsed. */
  get waitingBytes(): number {
    return this.#socket.readableLength + this.stream.readableLength;
  }

  /** Bytes that were written and not sent. */
  get unsentBytes(): number {
    return this.stream.writableLength;
  }

  /** Parses one slice, if that is allowed; returns whether there is more. */
  forwardSlice(): boolean {
    this.isHeldBack = !this.#isWanted || !this.#listener.mayForward();
    if (this.isHeldBack) return false;
    const length = this.#socket.readableLength;
    // At the end of what the caller sends, an empty read ends the stream.
    const chunk = length === 0
      ? this.#socket.read()
      : this.#socket.read(Math.min(SLICE_BYTES, length));
    if (chunk === null) return false;
    this.#isWanted = this.stream.push(chunk);
    return this.#socket.readableLength > 0;
  }

  /** Closes the connection at once; unsent answers are lost. */
  close(): void {
    this.stream.destroy();
  }

  #createStream(): Duplex & SocketMethods {
    const socket = this.#socket;
    const stream = new Duplex({
      read: () => {
        this.#isWanted = true;
        if (this.isHeldBack) this.#listener.onWaiting();
      },
      write: (chunk, _encoding, callback) => {
        socket.write(chunk, callback);
      },
      writev: (chunks, callback) => {
        const last = chunks.length - 1;
        socket.cork();
        for (const [n, { chunk }] of chunks.entries()) {
          if (n === last) socket.write(chunk, callback);
          else socket.write(chunk);
        }
        socket.uncork();
      },
      final: (callback) => {
        socket.end(() => callback());
      },
      destroy: (error, callback) => {
        socket.destroy();
        callback(error);
      },
    });
    const methods: SocketMethods = {
      remoteAddress: socket.remoteAddress,
      remotePort: socket.remotePort,
      setTimeout: (ms, callback) => {
        socket.setTimeout(ms);
        if (callback) stream.once("timeout", callback);
        return stream;
      },
      setKeepAlive: (isEnabled, delayMs) => {
        socket.setKeepAlive(isEnabled, delayMs);
        return stream;
      },
      setNoDelay: (isEnabled) => {
        socket.setNoDelay(isEnabled);
        return stream;
      },
      destroySoon: () => {
        if (stream.writableFinished) return void stream.destroy();
        stream.once("finish", () => stream.destroy());
        if (stream.writable) stream.end();
      },
    };
    return Object.assign(stream, methods);
  }
}
