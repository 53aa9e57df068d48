/** Source of the current time and of timers for the top-level loops. */
export abstract class Clock {
  /** Returns milliseconds since the Unix epoch. */
  abstract now(): number;

  /** Returns the system time in Unix milliseconds; it can be set and can jump. */
  readWallTime(): number {
    return Date.now();
  }

  /** Calls `callback` once after `delayMs`; returns a cancel function. */
  abstract schedule(callback: () => void, delayMs: number): () => void;

  /** Resolves after `delayMs` milliseconds. */
  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.schedule(resolve, delayMs));
  }
}

/** The system clock, which can jump when the system time is set. */
export class SystemClock extends Clock {
  override now(): number {
    return Date.now();
  }

  override schedule(callback: () => void, delayMs: number): () => void {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  }
}

/**
 * A monotonic clock, set to the system time when the process starts. Later
 * changes of the system time do not affect it.
 */
export class MonotonicClock extends SystemClock {
  override now(): number {
    return performance.timeOrigin + performance.now();
  }
}
