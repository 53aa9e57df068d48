import type { Clock } from "../base/mod.ts";
import { EventCode } from "./catalogue.ts";
import { type EventFields, EventLog } from "./log.ts";

/**
 * Maximum log lines per event code and second; further lines are only counted.
 * The usual load is 125 task starts per second, with bursts of twice that.
 */
export const MAX_LINES_PER_SECOND = 300;

/** Length of the window in which lines are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/**
 * Limits the log lines per event code and second. The first event of a new
 * window reports how many lines the previous one dropped, per event code.
 */
export class RateLimitedEventLog extends EventLog {
  readonly #target: EventLog;
  readonly #clock: Clock;
  readonly #writtenCounts = new Map<EventCode, number>();
  readonly #droppedCounts = new Map<EventCode, number>();
  #windowStartedAt = 0;

  constructor(target: EventLog, clock: Clock) {
    super();
    this.#target = target;
    this.#clock = clock;
  }

  override record(code: EventCode, fields: EventFields = {}): void {
    const now = this.#clock.now();
    if (now - this.#windowStartedAt >= WINDOW_MS) this.#beginWindow(now);
    const writtenCount = this.#writtenCounts.get(code) ?? 0;
    if (writtenCount >= MAX_LINES_PER_SECOND) {
      this.#droppedCounts.set(code, (this.#droppedCounts.get(code) ?? 0) + 1);
      return;
    }
    this.#writtenCounts.set(code, writtenCount + 1);
    this.#target.record(code, fields);
  }

  #beginWindow(now: number): void {
    this.#windowStartedAt = now;
    this.#writtenCounts.clear();
    if (this.#droppedCounts.size === 0) return;
    const counts = Object.fromEntries(this.#droppedCounts);
    this.#droppedCounts.clear();
    this.#target.record(EventCode.LinesDropped, { counts });
  }
}
