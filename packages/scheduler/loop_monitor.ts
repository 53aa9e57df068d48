import {
  MAX_LOOP_STALL_MS,
  MAX_POLL_INTERVAL_MS,
  OVERLOAD_WINDOW_MS,
  POLL_INTERVAL_MS,
  POLL_LAG_FACTOR,
} from "./constants.ts";

/** Fraction of a window for which a loop must be late to count as overloaded. */
const OVERLOADED_FRACTION = 0.5;

/** Lateness from which a tick counts as late, in milliseconds. */
const LATE_TICK_MS = 100;

/** Fewest late ticks of an overload: one long stop of the process is none. */
const MIN_LATE_TICKS = 2;

/**
 * Measures how late the timers of this process run. Load: a VM whose processor
 * was slowed or taken away, or more work than one process can carry.
 */
export class LoopMonitor {
  /** Time and lateness of the ticks within the window, in milliseconds. */
  readonly #ticks: { at: number; lateMs: number }[] = [];
  #lastTickAt: number | undefined;

  /** Notes a tick that was due `intervalMs` after the one before. */
  noteTick(now: number, intervalMs: number): void {
    if (this.#lastTickAt !== undefined) {
      const lateMs = Math.max(0, now - this.#lastTickAt - intervalMs);
      this.#ticks.push({ at: now, lateMs });
    }
    this.#lastTickAt = now;
    while (
      this.#ticks.length > 0 && now - this.#ticks[0].at > OVERLOAD_WINDOW_MS
    ) this.#ticks.shift();
  }

  /** Returns the lateness of the last tick, in milliseconds. */
  measureLag(): number {
    return this.#ticks.at(-1)?.lateMs ?? 0;
  }

  /**
   * Returns the median lateness of the ticks within the window, in milliseconds: one
   * long stop of the process does not count.
   */
  measureUsualLag(): number {
    const sorted = this.#ticks.map(({ lateMs }) => lateMs).sort((a, b) =>
      a - b
    );
    if (sorted.length < MIN_LATE_TICKS) return 0;
    return sorted[(sorted.length - 1) >> 1];
  }

  /** Returns whether the loop was late for most of a whole window. */
  isOverloaded(): boolean {
    const late = this.#ticks.filter(({ lateMs }) => lateMs >= LATE_TICK_MS);
    if (late.length < MIN_LATE_TICKS) return false;
    const lateMs = late.reduce((sum, tick) => sum + tick.lateMs, 0);
    return lateMs >= OVERLOAD_WINDOW_MS * OVERLOADED_FRACTION;
  }
}

/**
 * Computes the shortest time between two polls of one endpoint by how late the owner's
 * loop is, in milliseconds. Load: each end of a run answers a poll, and the next poll
 * follows; an owner that is late does better with several ends in one listing.
 */
export function computePollInterval(usualLagMs: number): number {
  return Math.min(
    MAX_POLL_INTERVAL_MS,
    POLL_INTERVAL_MS + usualLagMs * POLL_LAG_FACTOR,
  );
}

/** A steady time and the processor time used by then, both in milliseconds. */
export interface LoopReading {
  now: number;
  cpuMs: number;
}

/** A time for which the event loop ran no timer, in milliseconds. */
export interface LoopStall {
  stalledMs: number;
  /** Processor time that the process used meanwhile. */
  cpuMs: number;
}

/**
 * Detects that the event loop ran no timer for longer than `MAX_LOOP_STALL_MS`.
 * The processor time tells a long computation from a process that got no
 * processor.
 */
export class StallDetector {
  #lastReading: LoopReading | undefined;

  /** Notes a tick; returns the stall since the last one, if there was one. */
  noteTick(reading: LoopReading): LoopStall | undefined {
    const last = this.#lastReading;
    this.#lastReading = reading;
    if (!last) return undefined;
    const stalledMs = reading.now - last.now;
    if (stalledMs <= MAX_LOOP_STALL_MS) return undefined;
    return { stalledMs, cpuMs: reading.cpuMs - last.cpuMs };
  }
}
