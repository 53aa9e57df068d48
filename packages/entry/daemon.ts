import type { IncomingMessage, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import { BaobabheadError } from "../base/mod.ts";
import { MAX_BODY_BYTES } from "../config/mod.ts";
import {
  type BodyAllowance,
  ConnectionGuard,
  createGuardedServer,
  readDescriptorLimit,
  restrictConnections,
} from "../connections/mod.ts";
import { EventCode } from "../events/mod.ts";
import { createPeerApp } from "../peers/mod.ts";
import { type Address, formatAddress } from "../settings/mod.ts";
import { createCallerApp, WorkRefusals } from "./caller_app.ts";
import {
  CLOSE_INTERVAL_MS,
  CLOSE_TIMEOUT_MS,
  IDLE_CONNECTION_MS,
} from "./constants.ts";
import type { EntryNode } from "./entry_node.ts";
import {
  createOperatorApp,
  isOperator,
  MAX_CONFIG_BYTES,
  OPERATOR_PATH,
} from "./operator_app.ts";
import { createPeerHandlers } from "./peer_handlers.ts";

/** Listening on a configured address failed. */
export class ListenError extends BaobabheadError {}

/** One entry with its listening sockets. */
export class Daemon {
  readonly #node: EntryNode;
  readonly #servers: Server[] = [];
  #guard: ConnectionGuard | undefined;
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
    const peerServer = createAdaptorServer({
      fetch: peerApp.fetch,
      serverOptions: {
        keepAliveTimeout: IDLE_CONNECTION_MS,
        requestTimeout: 0,
      },
    }) as Server;
    await this.#listen(peerServer, listen.peers);
    await this.#listen(this.#createCallerServer(), listen.callers);
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
    this.#guard?.close();
    await this.#node.stop();
    this.#onStopped();
  }

  #createCallerServer(): Server {
    const { settings, clock, log, metrics } = this.#node.parts;
    const app = createCallerApp(this.#node);
    const onDrain = () => void this.stop();
    app.route(OPERATOR_PATH, createOperatorApp(this.#node, onDrain));
    const limits = {
      ...settings.callers,
      connections: restrictConnections(
        settings.callers.connections,
        readDescriptorLimit(),
      ),
    };
    this.#guard = new ConnectionGuard({
      name: "callers",
      limits,
      getBodyAllowance: (request) => this.#getBodyAllowance(request),
      refusals: new WorkRefusals(),
      clock,
      log,
      metrics,
    });
    return createGuardedServer(app.fetch, {
      guard: this.#guard,
      limits,
      idleMs: IDLE_CONNECTION_MS,
    });
  }

  /** Only operators send more than work may have. */
  #getBodyAllowance({ url, headers }: IncomingMessage): BodyAllowance {
    const { key_hash } = this.#node.parts.settings.operators;
    const isTrusted = url?.startsWith(`${OPERATOR_PATH}/`) === true &&
      isOperator(headers.authorization ?? "", key_hash);
    return { bytes: isTrusted ? MAX_CONFIG_BYTES : MAX_BODY_BYTES, isTrusted };
  }

  async #listen(server: Server, address: Address): Promise<AddressInfo> {
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
 * Closes a server, and its connections as they become idle; after `CLOSE_TIMEOUT_MS`
 * also those of callers that send no whole request or read no answers. Resolves when
 * all connections are closed.
 */
function closeServer(server: Server): Promise<void> {
  const closeIdle = () => server.closeIdleConnections();
  const timer = setInterval(closeIdle, CLOSE_INTERVAL_MS);
  const timeout = setTimeout(
    () => server.closeAllConnections(),
    CLOSE_TIMEOUT_MS,
  );
  return new Promise((resolve) => {
    server.close(() => {
      clearInterval(timer);
      clearTimeout(timeout);
      resolve();
    });
  });
}
