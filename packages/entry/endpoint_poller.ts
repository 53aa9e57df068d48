import type { Clock } from "../base/mod.ts";
import type { EndpointClient } from "../endpoints/mod.ts";
import { EndpointStatus, EngineEventType } from "../engine/mod.ts";
import { MAX_POLLS_IN_FLIGHT, RECOVERY_POLL_MS } from "./constants.ts";
import type { EngineDriver } from "./engine_driver.ts";

/** Renews task leases on the owned endpoints and lists the tasks they run. */
export class EndpointPoller {
  readonly #driver: EngineDriver;
  readonly #client: EndpointClient;
  readonly #clock: Clock;
  readonly #pollMs: number;
  readonly #leaseMs: number;
  readonly #nextPollAt = new Map<string, number>();
  readonly #inFlight = new Set<string>();

  constructor(
    options: {
      driver: EngineDriver;
      client: EndpointClient;
      clock: Clock;
      pollMs: number;
      leaseMs: number;
    },
  ) {
    this.#driver = options.driver;
    this.#client = options.client;
    this.#clock = options.clock;
    this.#pollMs = options.pollMs;
    this.#leaseMs = options.leaseMs;
  }

  /** Polls the endpoints whose next poll is due. */
  pollDue(): void {
    const now = this.#clock.now();
    const { endpoints } = this.#driver.engine.state;
    for (const id of [...this.#nextPollAt.keys()]) {
      if (!endpoints.has(id)) this.#nextPollAt.delete(id);
    }
    for (const id of endpoints.keys()) {
      if (this.#inFlight.size >= MAX_POLLS_IN_FLIGHT) return;
      if (this.#inFlight.has(id)) continue;
      if ((this.#nextPollAt.get(id) ?? 0) <= now) void this.#poll(id);
    }
  }

  async #poll(id: string): Promise<void> {
    const { spec } = this.#driver.engine.state.endpoints.get(id)!.ledger;
    const sentAt = this.#clock.now();
    this.#inFlight.add(id);
    try {
      const listing = await this.#client.renewLeases(spec, this.#leaseMs);
      const type = EngineEventType.Listed;
      this.#driver.handle({ type, endpoint: id, listing, sentAt });
    } catch {
      const type = EngineEventType.ListFailed;
      this.#driver.handle({ type, endpoint: id });
    }
    this.#inFlight.delete(id);
    this.#nextPollAt.set(id, this.#clock.now() + this.#computeInterval(id));
  }

  #computeInterval(id: string): number {
    const status = this.#driver.engine.state.endpoints.get(id)?.status;
    const isSteady = status === EndpointStatus.Serving ||
      status === EndpointStatus.Ejected;
    return isSteady ? this.#pollMs : Math.min(this.#pollMs, RECOVERY_POLL_MS);
  }
}
