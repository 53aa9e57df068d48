import { EventCode, type EventLog } from "../events/mod.ts";
import { LinkBusyError } from "../links/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** The dependencies of a `CallLimit`. */
export interface CallLimitParts {
  /** Returns the largest number of calls in process. */
  getMax: () => number;
  log: EventLog;
  metrics: Metrics;
}

/**
 * Bounds the calls that an owner has in process for the callers of all entries: each
 * holds a job until its commit. Load: an entry bounds its own callers, but hundreds of
 * entries have one owner.
 */
export class CallLimit {
  readonly #parts: CallLimitParts;
  #count = 0;

  constructor(parts: CallLimitParts) {
    this.#parts = parts;
  }

  /**
   * Runs a call.
   *
   * @throws {LinkBusyError} when there is no room for it; it was not run
   * @throws what the call throws
   */
  async run<T>(call: () => Promise<T>): Promise<T> {
    const { getMax, metrics, log } = this.#parts;
    const max = getMax();
    if (this.#count >= max) {
      const labels = { address: "peers", limit: "owner_calls" };
      metrics.countEvent("limits_met", labels);
      log.record(EventCode.LimitsMet, { address: "peers", owner_calls: 1 });
      throw new LinkBusyError(`the owner has ${max} calls in process`);
    }
    this.#count++;
    try {
      return await call();
    } finally {
      this.#count--;
    }
  }
}
