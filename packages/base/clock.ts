/** Provides the current time and timers to the top-level loops. */
export abstract class Clock {
  /** Returns milliseconds since the Unix epoch. */
  abstract now(): number;

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
 * A monotonic clock. It starts at the system time of the process start and
 * does not follow later changes of the system time.
 */
export class MonotonicClock extends SystemClock {
  override now(): number {
    return performance.timeOrigin + performance.now();
  }
}
