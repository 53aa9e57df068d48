import { createServer, type Server } from "node:net";
import type { Clock } from "../base/mod.ts";
import { SILENT_MEMORY_MS } from "./constants.ts";
import { Link } from "./link.ts";
import type { LinkHandlers } from "./types.ts";

/** Accepts links of other entries. */
export class LinkServer {
  readonly links = new Set<Link>();
  /** Called when the link of an entry is closed. */
  onLost: (peer: string, reason: string) => void = () => {};
  readonly #server: Server;
  readonly #clock: Clock;
  readonly #silentSince = new Map<string, number>();

  constructor(
    options: { handlers: LinkHandlers; clock: Clock; entry: string },
  ) {
    this.#clock = options.clock;
    this.#server = createServer((socket) => {
      const link = new Link(socket, options);
      this.links.add(link);
      link.onClosed = (reason) => this.#dropLink(link, reason);
    });
  }

  /** Listens; fails when the address is taken. */
  listen(address: { host: string; port: number }): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address.port, address.host, () => resolve());
    });
  }

  /** Lists the open links whose other end has said its name. */
  listNamed(): Link[] {
    return [...this.links].filter((link) => link.peer !== "");
  }

  /** Lists the entries that fell silent lately and have not come back. */
  listSilent(): string[] {
    const oldest = this.#clock.now() - SILENT_MEMORY_MS;
    const linked = new Set(this.listNamed().map(({ peer }) => peer));
    return [...this.#silentSince]
      .filter(([peer, since]) => since > oldest && !linked.has(peer))
      .map(([peer]) => peer);
  }

  #dropLink(link: Link, reason: string): void {
    this.links.delete(link);
    if (link.peer === "") return;
    this.onLost(link.peer, reason);
    if (link.wasSilent) this.#silentSince.set(link.peer, this.#clock.now());
    else this.#silentSince.delete(link.peer);
  }

  /** Closes all links and the listening socket. */
  close(): void {
    this.#server.close();
    for (const link of this.links) link.close("this entry stops");
  }
}
