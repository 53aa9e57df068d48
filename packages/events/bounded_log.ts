import type { Clock } from "../base/mod.ts";
import { EventCode } from "./catalogue.ts";
import { type EventFields, EventLog } from "./log.ts";

/**
 * Lines of one event that are written each second; the rest is counted. The
 * usual load is 125 starts a second, and bursts twice that.
 */
export const LINES_PER_SECOND = 300;

/** Interval of the line that says how many were left out, in ms. */
const WINDOW_MS = 1_000;

/** Bounds the lines of each event and says how many were left out. */
export class BoundedEventLog extends EventLog {
  readonly #target: EventLog;
  readonly #clock: Clock;
  readonly #written = new Map<EventCode, number>();
  readonly #dropped = new Map<EventCode, number>();
  #windowAt = 0;

  constructor(target: EventLog, clock: Clock) {
    super();
    this.#target = target;
    this.#clock = clock;
  }

  override record(code: EventCode, fields: EventFields = {}): void {
    const now = this.#clock.now();
    if (now - this.#windowAt >= WINDOW_MS) this.#beginWindow(now);
    const written = this.#written.get(code) ?? 0;
    if (written >= LINES_PER_SECOND) {
      this.#dropped.set(code, (this.#dropped.get(code) ?? 0) + 1);
      return;
    }
    this.#written.set(code, written + 1);
    this.#target.record(code, fields);
  }

  #beginWindow(now: number): void {
    this.#windowAt = now;
    this.#written.clear();
    if (this.#dropped.size === 0) return;
    const counts = Object.fromEntries(this.#dropped);
    this.#dropped.clear();
    this.#target.record(EventCode.LinesDropped, { counts });
  }
}
