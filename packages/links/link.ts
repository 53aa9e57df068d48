import { connect, type Socket } from "node:net";
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from "json-rpc-2.0";
import {
  type Clock,
  FormatError,
  NotSentError,
  UnknownEffectError,
} from "../base/mod.ts";
import {
  LINK_CONNECT_TIMEOUT_MS,
  LINK_HEARTBEAT_MS,
  LINK_TIMEOUT_MS,
  MAX_LINE_LENGTH,
} from "./constants.ts";
import { encodeError, isBusy, LinkBusyError } from "./errors.ts";
import type {
  Heartbeat,
  HeartbeatReply,
  LinkHandlers,
  LinkMethod,
  LinkMethods,
} from "./types.ts";

/** What an entry tells the owner of the cell over a link that it opens. */
export interface LinkOpener {
  /** Makes the next heartbeat. */
  makeHeartbeat: () => Heartbeat;
  /** Called with the answer to each heartbeat. */
  onReply: (reply: HeartbeatReply) => void;
}

/** A connection between two entries, over which both sides call methods. */
export class Link {
  readonly #socket: Socket;
  readonly #rpc: JSONRPCServerAndClient;
  readonly #clock: Clock;
  readonly #opener: LinkOpener | undefined;
  #buffer = "";
  #cancelTimer: () => void = () => {};
  #isOpen = true;
  #lastReceivedAt: number;
  /**
   * Name of the peer entry; empty until its first heartbeat, and always empty at
   * the opener of the link.
   */
  peer = "";
  /** Processor speed of the peer's VM, in cores; 0: not known. */
  peerCores = 0;
  /** Called when a heartbeat has changed the peer's name or speed. */
  onPeerChanged: () => void = () => {};
  /** The link was closed because no data was received for too long. */
  hasTimedOut = false;
  /** Called once, when the link is closed. */
  onClosed: (reason: string) => void = () => {};

  /**
   * `opener` is set at the side that opened the link. Only that side sends
   * heartbeats: their answers tell it that the owner lives.
   */
  constructor(
    socket: Socket,
    options: { handlers: LinkHandlers; clock: Clock; opener?: LinkOpener },
  ) {
    this.#socket = socket;
    this.#clock = options.clock;
    this.#opener = options.opener;
    this.#lastReceivedAt = options.clock.now();
    this.#rpc = this.#createRpc(options.handlers);
    socket.setNoDelay(true);
    socket.setEncoding("utf8");
    socket.on("data", (text: string) => this.#receive(text));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("closed by the peer"));
    this.#scheduleCheck();
  }

  /** Returns the time since data was last received, in milliseconds. */
  measureIdleTime(): number {
    return this.#clock.now() - this.#lastReceivedAt;
  }

  /** False once either side has closed the link. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /**
   * Calls a method of the peer.
   *
   * @throws {NotSentError} when the link was already closed
   * @throws {LinkBusyError} when the peer had no room for the call
   * @throws {UnknownEffectError} when the call fails or times out
   */
  async call<M extends LinkMethod>(
    method: M,
    params: LinkMethods[M]["params"],
    options: { timeoutMs: number },
  ): Promise<LinkMethods[M]["result"]> {
    if (!this.#isOpen) throw new NotSentError(`Cannot call ${method}: closed`);
    try {
      return await this.#rpc.timeout(options.timeoutMs).request(method, params);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      if (isBusy(error)) throw new LinkBusyError(reason);
      throw new UnknownEffectError(`Cannot call ${method}: ${reason}`);
    }
  }

  /** Closes the link; calls in flight fail with `UnknownEffectError`. */
  close(reason: string): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#cancelTimer();
    this.#socket.destroy();
    this.#rpc.rejectAllPendingRequests(`the link was closed: ${reason}`);
    this.onClosed(reason);
  }

  #createRpc(handlers: LinkHandlers): JSONRPCServerAndClient {
    const send = (message: unknown) => {
      if (!this.#isOpen) return Promise.reject(new Error("closed"));
      this.#socket.write(`${JSON.stringify(message)}\n`);
      return Promise.resolve();
    };
    const rpc = new JSONRPCServerAndClient(
      new JSONRPCServer({ errorListener: () => {} }),
      new JSONRPCClient(send),
      { errorListener: () => {} },
    );
    for (const [name, handler] of Object.entries(handlers)) {
      const handle = handler as (params: unknown) => unknown;
      rpc.addMethod(name, async (params: unknown) => {
        if (name === "link.heartbeat") this.#notePeer(params as Heartbeat);
        try {
          return await handle(params);
        } catch (error) {
          throw encodeError(error);
        }
      });
    }
    return rpc;
  }

  #notePeer({ entry, cores }: Heartbeat): void {
    if (typeof entry !== "string") {
      throw new FormatError("Cannot read the name of the peer");
    }
    const speed = Number.isFinite(cores) ? Number(cores) : 0;
    if (this.peer === entry && this.peerCores === speed) return;
    this.peer = entry;
    this.peerCores = speed;
    this.onPeerChanged();
  }

  #receive(text: string): void {
    this.#lastReceivedAt = this.#clock.now();
    const lines = text.split("\n");
    lines[0] = this.#buffer + lines[0];
    if (lines.some(({ length }) => length > MAX_LINE_LENGTH)) {
      return this.close("received a line above the length limit");
    }
    this.#buffer = lines.pop() ?? "";
    for (const line of lines) this.#receiveLine(line);
  }

  #receiveLine(line: string): void {
    try {
      // Errors of handlers are sent to the caller; only sending can fail here.
      this.#rpc.receiveAndSend(JSON.parse(line))
        .catch((error) => this.close(String(error)));
    } catch (error) {
      this.close(String(error));
    }
  }

  /**
   * Sends a heartbeat and notes the answer.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  async sendHeartbeat(): Promise<void> {
    if (!this.#opener) return;
    const { makeHeartbeat, onReply } = this.#opener;
    const timeoutMs = LINK_TIMEOUT_MS;
    onReply(await this.call("link.heartbeat", makeHeartbeat(), { timeoutMs }));
  }

  #scheduleCheck(): void {
    const dueAt = this.#clock.now() + LINK_HEARTBEAT_MS;
    this.#cancelTimer = this.#clock.schedule(() => {
      // After a stop of this process, data of a live peer may not be read yet.
      const isLate = this.#clock.now() - dueAt > LINK_HEARTBEAT_MS;
      if (!isLate && this.measureIdleTime() > LINK_TIMEOUT_MS) {
        this.hasTimedOut = true;
        return this.close(`no data received for ${LINK_TIMEOUT_MS} ms`);
      }
      this.sendHeartbeat()
        // A failed heartbeat needs no handling: the check above closes a link
        // on which no data arrives.
        .catch(() => {});
      this.#scheduleCheck();
    }, LINK_HEARTBEAT_MS);
  }
}

/** Another entry refused the connection: its process is not running. */
export class LinkRefusedError extends NotSentError {}

/**
 * Opens a link to another entry and sends a first heartbeat with this entry's
 * name.
 *
 * @throws {LinkRefusedError} when the connection is refused
 * @throws {NotSentError} when the entry cannot be reached
 * @throws {UnknownEffectError} when the heartbeat fails or times out
 */
export async function openLink(
  address: { host: string; port: number },
  options: {
    handlers: LinkHandlers;
    clock: Clock;
    opener: LinkOpener;
    localAddress: string;
  },
): Promise<Link> {
  const { localAddress, clock } = options;
  const socket = await new Promise<Socket>((resolve, reject) => {
    const pendingSocket = connect({ ...address, localAddress });
    const fail = (reason: string) => {
      pendingSocket.destroy();
      const hostAndPort = `${address.host}:${address.port}`;
      reject(new NotSentError(`Cannot connect to ${hostAndPort}: ${reason}`));
    };
    const cancelTimeout = clock.schedule(
      () => fail("timed out"),
      LINK_CONNECT_TIMEOUT_MS,
    );
    pendingSocket.once("error", (error: NodeJS.ErrnoException) => {
      cancelTimeout();
      if (error.code !== "ECONNREFUSED") return fail(error.message);
      reject(new LinkRefusedError(`Cannot connect: ${error.message}`));
    });
    pendingSocket.once("connect", () => {
      cancelTimeout();
      pendingSocket.removeAllListeners("error");
      resolve(pendingSocket);
    });
  });
  const link = new Link(socket, options);
  try {
    await link.sendHeartbeat();
  } catch (error) {
    link.close("the first heartbeat failed");
    throw error;
  }
  return link;
}
