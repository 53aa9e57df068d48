import { EventCode, type EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { LimitName } from "./types.ts";

/** The dependencies of a `LimitLog`. */
export interface LimitLogParts {
  /** Name of the listening address in metrics and logs. */
  name: string;
  log: EventLog;
  metrics: Metrics;
}

/** Counts and logs the limits that the callers of one address have met. */
export class LimitLog {
  readonly #parts: LimitLogParts;
  #counts: Partial<Record<LimitName, number>> = {};

  constructor(parts: LimitLogParts) {
    this.#parts = parts;
  }

  /** Notes that a limit was met. */
  note(limit: LimitName): void {
    const { metrics, name } = this.#parts;
    metrics.countEvent("limits_met", { address: name, limit });
    this.#counts[limit] = (this.#counts[limit] ?? 0) + 1;
  }

  /** Records the use of the limits, and in one line which were met since the last call. */
  record(
    use: { connections: number; requests: number; requestBytes: number },
  ): void {
    const { name, metrics, log } = this.#parts;
    const labels = { address: name };
    metrics.setGauge("connections", use.connections, labels);
    metrics.setGauge("requests_in_process", use.requests, labels);
    metrics.setGauge("request_bytes", use.requestBytes, labels);
    if (Object.keys(this.#counts).length === 0) return;
    log.record(EventCode.LimitsMet, { address: name, ...this.#counts, use });
    this.#counts = {};
  }
}
