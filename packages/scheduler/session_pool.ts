import type { Clock } from "../base/mod.ts";
import type { Endpoint, OwnerFence } from "../cell/mod.ts";
import { EndpointSession, type SessionHost } from "./endpoint_session.ts";
import type { EndpointControl } from "./ports.ts";

/** Runs one `EndpointSession` for each endpoint of the cell. */
export class SessionPool {
  readonly #parts: {
    control: EndpointControl;
    clock: Clock;
    host: SessionHost;
    fence: OwnerFence;
    leaseMs: number;
  };
  readonly #sessions = new Map<Endpoint, EndpointSession>();

  constructor(
    parts: {
      control: EndpointControl;
      clock: Clock;
      host: SessionHost;
      fence: OwnerFence;
      leaseMs: number;
    },
  ) {
    this.#parts = parts;
  }

  /**
   * Starts sessions for new endpoints, stops the sessions of removed endpoints,
   * and lets all others check whether a poll is due.
   */
  update(endpoints: ReadonlyMap<string, Endpoint>): void {
    for (const endpoint of endpoints.values()) {
      const session = this.#sessions.get(endpoint);
      if (session) session.checkNow();
      else this.#addSession(endpoint);
    }
    if (this.#sessions.size === endpoints.size) return;
    for (const [endpoint, session] of this.#sessions) {
      if (endpoints.get(endpoint.info.id) === endpoint) continue;
      session.stop();
      this.#sessions.delete(endpoint);
    }
  }

  /** Stops all sessions. */
  stop(): void {
    for (const session of this.#sessions.values()) session.stop();
  }

  #addSession(endpoint: Endpoint): void {
    const session = new EndpointSession({ ...this.#parts, endpoint });
    this.#sessions.set(endpoint, session);
    void session.run();
  }
}
