import { connect, type Socket } from "node:net";
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from "json-rpc-2.0";
import { type Clock, NotSentError, UnknownEffectError } from "../base/mod.ts";
import {
  LINK_CONNECT_MS,
  LINK_HEARTBEAT_MS,
  LINK_SILENCE_MS,
  MAX_LINE_LENGTH,
} from "./constants.ts";
import type { LinkHandlers, LinkMethod, LinkMethods } from "./types.ts";

/** One connection between two entries; both sides may call. */
export class Link {
  readonly #socket: Socket;
  readonly #rpc: JSONRPCServerAndClient;
  readonly #clock: Clock;
  readonly #entry: string;
  #buffer = "";
  #cancelTimer: () => void = () => {};
  #isOpen = true;
  #lastHeardAt: number;
  /** Name of the entry at the other end, once it has said so. */
  peer = "";
  /** The link was closed because nothing was heard, not by the other end. */
  wasSilent = false;
  /** Called once when the link is closed. */
  onClosed: (reason: string) => void = () => {};

  constructor(
    socket: Socket,
    options: { handlers: LinkHandlers; clock: Clock; entry: string },
  ) {
    this.#socket = socket;
    this.#clock = options.clock;
    this.#entry = options.entry;
    this.#lastHeardAt = options.clock.now();
    this.#rpc = this.#createRpc(options.handlers);
    socket.setNoDelay(true);
    socket.setEncoding("utf8");
    socket.on("data", (text: string) => this.#receive(text));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("closed by the other end"));
    this.#scheduleHeartbeat();
  }

  /** Tells for how long nothing was heard, in milliseconds. */
  measureSilence(): number {
    return this.#clock.now() - this.#lastHeardAt;
  }

  /** True until the link is closed. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /**
   * Calls a method of the other side.
   *
   * @throws {NotSentError} when the link was closed before
   * @throws {UnknownEffectError} when no answer came in time
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
      throw new UnknownEffectError(`Cannot call ${method}: ${reason}`);
    }
  }

  /** Closes the connection; open calls fail with an unknown effect. */
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
      const run = handler as (params: unknown) => unknown;
      rpc.addMethod(name, async (params: unknown) => {
        if (name === "link.heartbeat") {
          this.peer = (params as { entry: string }).entry;
        }
        return await run(params);
      });
    }
    return rpc;
  }

  #receive(text: string): void {
    this.#lastHeardAt = this.#clock.now();
    this.#buffer += text;
    if (this.#buffer.length > MAX_LINE_LENGTH) {
      return this.close("a line is too long");
    }
    const lines = this.#buffer.split("\n");
    this.#buffer = lines.pop() ?? "";
    for (const line of lines) this.#receiveLine(line);
  }

  #receiveLine(line: string): void {
    try {
      // A handler's error is the caller's answer; only sending can fail.
      this.#rpc.receiveAndSend(JSON.parse(line))
        .catch((error) => this.close(String(error)));
    } catch (error) {
      this.close(String(error));
    }
  }

  #scheduleHeartbeat(): void {
    this.#cancelTimer = this.#clock.schedule(() => {
      if (this.measureSilence() > LINK_SILENCE_MS) {
        this.wasSilent = true;
        return this.close(`nothing heard for ${LINK_SILENCE_MS} ms`);
      }
      this.call("link.heartbeat", { entry: this.#entry }, {
        timeoutMs: LINK_SILENCE_MS,
      })
        // The silence shows at the next heartbeat.
        .catch(() => {});
      this.#scheduleHeartbeat();
    }, LINK_HEARTBEAT_MS);
  }
}

/** Nothing listens at the address of another entry: its process is gone. */
export class LinkRefusedError extends NotSentError {}

/**
 * Opens a link to another entry and says who calls.
 *
 * @throws {LinkRefusedError} when nothing listens there
 * @throws {NotSentError} when it cannot be reached
 */
export async function openLink(
  address: { host: string; port: number },
  options: {
    handlers: LinkHandlers;
    clock: Clock;
    entry: string;
    localAddress: string;
  },
): Promise<Link> {
  const { localAddress, clock, entry } = options;
  const socket = await new Promise<Socket>((resolve, reject) => {
    const opening = connect({ ...address, localAddress });
    const fail = (reason: string) => {
      opening.destroy();
      const place = `${address.host}:${address.port}`;
      reject(new NotSentError(`Cannot connect to ${place}: ${reason}`));
    };
    const cancel = clock.schedule(() => fail("timed out"), LINK_CONNECT_MS);
    opening.once("error", (error: NodeJS.ErrnoException) => {
      cancel();
      if (error.code !== "ECONNREFUSED") return fail(error.message);
      reject(new LinkRefusedError(`Cannot connect: ${error.message}`));
    });
    opening.once("connect", () => {
      cancel();
      opening.removeAllListeners("error");
      resolve(opening);
    });
  });
  const link = new Link(socket, options);
  await link.call("link.heartbeat", { entry }, { timeoutMs: LINK_SILENCE_MS });
  return link;
}
