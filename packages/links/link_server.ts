import { createServer, type Server } from "node:net";
import type { Clock } from "../base/mod.ts";
import { UNRESPONSIVE_RETENTION_MS } from "./constants.ts";
import { Link } from "./link.ts";
import type { LinkHandlers } from "./types.ts";

/** Accepts links from other entries. */
export class LinkServer {
  readonly links = new Set<Link>();
  /** Called when the link of an identified peer is closed. */
  onLost: (peer: string, reason: string) => void = () => {};
  readonly #server: Server;
  readonly #clock: Clock;
  #largestPeerCores = 0;
  /** When a peer's link last closed by timeout, by peer. */
  readonly #timedOutAt = new Map<string, number>();

  constructor(
    options: { handlers: LinkHandlers; clock: Clock },
  ) {
    this.#clock = options.clock;
    this.#server = createServer((socket) => {
      const link = new Link(socket, options);
      this.links.add(link);
      link.onClosed = (reason) => this.#dropLink(link, reason);
      link.onPeerChanged = () => this.#updateLargestPeer();
    });
  }

  /** Starts listening; rejects when the address is in use. */
  listen(address: { host: string; port: number }): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address.port, address.host, () => resolve());
    });
  }

  /** Lists the open links whose peer has sent its name. */
  listIdentified(): Link[] {
    return [...this.links].filter((link) => link.peer !== "");
  }

  /** Processor speed of the largest VM with an open link, in cores; 0: none. */
  get largestPeerCores(): number {
    return this.#largestPeerCores;
  }

  /**
   * Lists entries whose link timed out recently, after the time `since` in milliseconds,
   * and that have no link now.
   */
  listUnresponsive(since: number): string[] {
    const now = this.#clock.now();
    const cutoff = Math.max(since, now - UNRESPONSIVE_RETENTION_MS);
    const linked = new Set(this.listIdentified().map(({ peer }) => peer));
    return [...this.#timedOutAt]
      .filter(([peer, closedAt]) => closedAt > cutoff && !linked.has(peer))
      .map(([peer]) => peer);
  }

  #updateLargestPeer(): void {
    const cores = this.listIdentified().map(({ peerCores }) => peerCores);
    this.#largestPeerCores = Math.max(0, ...cores);
  }

  #dropLink(link: Link, reason: string): void {
    this.links.delete(link);
    if (link.peer === "") return;
    this.#updateLargestPeer();
    this.onLost(link.peer, reason);
    if (link.hasTimedOut) this.#timedOutAt.set(link.peer, this.#clock.now());
    else this.#timedOutAt.delete(link.peer);
  }

  /** Closes all links and the listening socket. */
  close(): void {
    this.#server.close();
    for (const link of this.links) link.close("this entry stops");
  }
}
