import { createServer, type Server } from "node:net";
import type { Clock } from "../base/mod.ts";
import { Link } from "./link.ts";
import type { LinkHandlers } from "./types.ts";

/** Accepts links of other entries. */
export class LinkServer {
  readonly links = new Set<Link>();
  readonly #server: Server;

  constructor(
    options: { handlers: LinkHandlers; clock: Clock; entry: string },
  ) {
    this.#server = createServer((socket) => {
      const link = new Link(socket, options);
      this.links.add(link);
      link.onClosed = () => this.links.delete(link);
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

  /** Closes all links and the listening socket. */
  close(): void {
    this.#server.close();
    for (const link of this.links) link.close();
  }
}
