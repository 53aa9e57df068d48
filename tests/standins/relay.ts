import type { Buffer } from "node:buffer";
import { connect, createServer, type Server, type Socket } from "node:net";

/** What a relay does to the connections between two addresses. */
export enum LinkFault {
  /** Closes open connections and refuses new ones. */
  Cut = "cut",
  /** Keeps what clients send until the fault ends. */
  HoldRequests = "hold_requests",
  /** Keeps what servers send until the fault ends. */
  HoldAnswers = "hold_answers",
  /** Open connections carry nothing any more, also after the fault. */
  Silence = "silence",
  /** Delivers every message later. */
  Delay = "delay",
  /** Delivers half of the next message of a server, then closes. */
  HalfAnswer = "half_answer",
  /** Delivers half of the next message of a client, then closes. */
  HalfRequest = "half_request",
}

/**
 * A fault of the connections from `source` to `target`: IP addresses, or
 * prefixes of addresses that end with a dot.
 */
export interface LinkRule {
  source: string;
  target: string;
  fault: LinkFault;
  /** Delay of each message, in milliseconds; for `LinkFault.Delay`. */
  delayMs?: number;
  /** What is held is lost if its sender closes the connection meanwhile. */
  losesHeld?: boolean;
}

/** Network address of a server. */
export interface RelayAddress {
  host: string;
  port: number;
}

/** One direction of a relayed connection. */
interface Direction {
  from: Socket;
  to: Socket;
  isRequest: boolean;
  held: Buffer[];
  delayedCount: number;
  hasEnded: boolean;
}

/** A relayed connection and its faults so far. */
interface Connection {
  source: string;
  target: string;
  isSilent: boolean;
  directions: Direction[];
}

/**
 * Stand-in for the network: forwards TCP connections and injects faults by their
 * source and target address.
 */
export class Relay {
  readonly #servers: Server[] = [];
  readonly #connections = new Set<Connection>();
  #rules: LinkRule[] = [];

  /** Forwards connections to `from` to the server at `to`. */
  async addRoute(from: RelayAddress, to: RelayAddress): Promise<void> {
    const server = createServer((socket) => this.#forward(socket, to));
    this.#servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(from.port, from.host, 1_024, resolve);
    });
  }

  /** Replaces the faults; what was held is delivered if its fault has ended. */
  setRules(rules: LinkRule[]): void {
    this.#rules = rules;
    for (const connection of [...this.#connections]) {
      const rule = this.#findRule(connection);
      if (rule?.fault === LinkFault.Cut) this.#close(connection);
      if (rule?.fault === LinkFault.Silence) connection.isSilent = true;
      for (const direction of connection.directions) {
        if (!isHeld(direction, rule)) this.#release(connection, direction);
      }
    }
  }

  /** Resets the open connections from `source` to `target`. */
  resetConnections(source: string, target: string): void {
    for (const connection of [...this.#connections]) {
      if (!matchesAddresses({ source, target }, connection)) continue;
      this.#connections.delete(connection);
      for (const { from } of connection.directions) from.resetAndDestroy();
    }
  }

  stop(): void {
    for (const server of this.#servers) server.close();
    for (const connection of [...this.#connections]) this.#close(connection);
  }

  #findRule(link: { source: string; target: string }): LinkRule | undefined {
    return this.#rules.find((rule) => matchesAddresses(rule, link));
  }

  #forward(client: Socket, to: RelayAddress): void {
    const source = client.remoteAddress ?? "";
    if (this.#findRule({ source, target: to.host })?.fault === LinkFault.Cut) {
      client.destroy();
      return;
    }
    const server = connect({ ...to, localAddress: source });
    // Callers can tell a server that does not run from a lost answer.
    const refuse = () => client.resetAndDestroy();
    server.once("error", refuse);
    server.once("connect", () => server.off("error", refuse));
    const makeDirection = (from: Socket, target: Socket): Direction => ({
      from,
      to: target,
      isRequest: from === client,
      held: [],
      delayedCount: 0,
      hasEnded: false,
    });
    const connection: Connection = {
      source,
      target: to.host,
      isSilent: false,
      directions: [
        makeDirection(client, server),
        makeDirection(server, client),
      ],
    };
    this.#connections.add(connection);
    for (const direction of connection.directions) {
      direction.from.setNoDelay(true);
      direction.from
        .on("data", (chunk) => this.#receive(connection, { direction, chunk }))
        .on("error", () => this.#close(connection))
        .on("close", () => {
          direction.hasEnded = true;
          if (this.#findRule(connection)?.losesHeld) direction.held.length = 0;
          this.#release(connection, direction);
        });
    }
  }

  #receive(
    connection: Connection,
    { direction, chunk }: { direction: Direction; chunk: Buffer },
  ): void {
    const rule = this.#findRule(connection);
    if (rule?.fault === LinkFault.Silence) connection.isSilent = true;
    if (connection.isSilent) return;
    if (isHeld(direction, rule) || direction.held.length > 0) {
      direction.held.push(chunk);
      return;
    }
    const halfFault = direction.isRequest
      ? LinkFault.HalfRequest
      : LinkFault.HalfAnswer;
    if (rule?.fault === halfFault) {
      direction.to.write(chunk.subarray(0, chunk.length >> 1));
      this.#close(connection);
      return;
    }
    if (rule?.fault !== LinkFault.Delay && direction.delayedCount === 0) {
      direction.to.write(chunk);
      return;
    }
    direction.delayedCount++;
    setTimeout(() => {
      direction.delayedCount--;
      if (!direction.to.destroyed) direction.to.write(chunk);
      this.#release(connection, direction);
    }, rule?.delayMs ?? 0);
  }

  /** Delivers what was held, and the end of the stream after it. */
  #release(connection: Connection, direction: Direction): void {
    if (isHeld(direction, this.#findRule(connection))) return;
    const { held, to } = direction;
    if (!to.destroyed && !connection.isSilent) {
      for (const chunk of held) to.write(chunk);
    }
    held.length = 0;
    if (!direction.hasEnded || direction.delayedCount > 0) return;
    to.end();
    if (connection.directions.every(({ hasEnded }) => hasEnded)) {
      this.#connections.delete(connection);
    }
  }

  #close(connection: Connection): void {
    this.#connections.delete(connection);
    for (const { from } of connection.directions) from.destroy();
  }
}

function isHeld(direction: Direction, rule: LinkRule | undefined): boolean {
  const fault = direction.isRequest
    ? LinkFault.HoldRequests
    : LinkFault.HoldAnswers;
  return rule?.fault === fault;
}

function matchesAddresses(
  pattern: { source: string; target: string },
  link: { source: string; target: string },
): boolean {
  const matchesAddress = (prefix: string, address: string) =>
    prefix.endsWith(".") ? address.startsWith(prefix) : address === prefix;
  return matchesAddress(pattern.source, link.source) &&
    matchesAddress(pattern.target, link.target);
}
