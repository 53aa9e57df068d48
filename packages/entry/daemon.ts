import type { AddressInfo } from "node:net";
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import { BaobabheadError } from "../base/mod.ts";
import { EventCode } from "../events/mod.ts";
import { createPeerApp } from "../peers/mod.ts";
import { type Address, formatAddress } from "../settings/mod.ts";
import { createCallerApp } from "./caller_app.ts";
import { CLOSE_INTERVAL_MS, IDLE_CONNECTION_MS } from "./constants.ts";
import type { EntryNode } from "./entry_node.ts";
import { createOperatorApp } from "./operator_app.ts";
import { createPeerHandlers } from "./peer_handlers.ts";

/** Listening on a configured address failed. */
export class ListenError extends BaobabheadError {}

/** One entry with its listening sockets. */
export class Daemon {
  readonly #node: EntryNode;
  readonly #servers: ServerType[] = [];
  readonly #onStopped: () => void;
  #stopPromise: Promise<void> | undefined;

  /** `onStopped` is called after the daemon has drained and stopped. */
  constructor(node: EntryNode, onStopped: () => void) {
    this.#node = node;
    this.#onStopped = onStopped;
  }

  /**
   * Listens on the addresses and starts the entry. The address for peers comes
   * first: binding it proves that no earlier process of this VM is alive.
   *
   * @throws {ListenError} if listening on an address fails
   */
  async start(): Promise<void> {
    const node = this.#node;
    const { listen, peers } = node.parts.settings;
    const peerApp = createPeerApp(createPeerHandlers(node), peers.token);
    await this.#listen(peerApp.fetch, listen.peers);
    const callerApp = createCallerApp(node);
    const onDrain = () => void this.stop();
    callerApp.route("/v1/admin", createOperatorApp(node, onDrain));
    await this.#listen(callerApp.fetch, listen.callers);
    node.start();
  }

  /** Drains the entry, closes the sockets and stops the entry. */
  stop(): Promise<void> {
    this.#stopPromise ??= this.#stop();
    return this.#stopPromise;
  }

  async #stop(): Promise<void> {
    await this.#node.drain();
    await Promise.all(this.#servers.map(closeServer));
    await this.#node.stop();
    this.#onStopped();
  }

  async #listen(
    fetch: Parameters<typeof createAdaptorServer>[0]["fetch"],
    address: Address,
  ): Promise<AddressInfo> {
    const server = createAdaptorServer({
      fetch,
      serverOptions: {
        keepAliveTimeout: IDLE_CONNECTION_MS,
        requestTimeout: 0,
      },
    });
    this.#servers.push(server);
    return await new Promise((resolve, reject) => {
      server.once("error", (error: Error) => {
        const listenAddress = formatAddress(address);
        this.#node.parts.log.record(EventCode.ListenFailed, {
          address: listenAddress,
        });
        const message = `Cannot listen on ${listenAddress}: ${error.message}`;
        reject(new ListenError(message, { cause: error }));
      });
      server.listen(address.port, address.host, () => {
        resolve(server.address() as AddressInfo);
      });
    });
  }
}

/**
 * Closes a server, and its connections as they become idle. Resolves when all
 * connections are closed.
 */
function closeServer(server: ServerType): Promise<void> {
  const closeIdle = () => {
    if ("closeIdleConnections" in server) server.closeIdleConnections();
  };
  const timer = setInterval(closeIdle, CLOSE_INTERVAL_MS);
  return new Promise((resolve) => {
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
  });
}
