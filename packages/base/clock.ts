/** Source of the present time and of timers for the outermost loops. */
export abstract class Clock {
  /** Returns milliseconds since the Unix epoch. */
  abstract now(): number;

  /** Runs a function once after some milliseconds; returns how to cancel. */
  abstract schedule(run: () => void, delayMs: number): () => void;

  /** Resolves after some milliseconds. */
  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.schedule(resolve, delayMs));
  }
}

/** The machine's clock. */
export class SystemClock extends Clock {
  override now(): number {
    return Date.now();
  }

  override schedule(run: () => void, delayMs: number): () => void {
    const timer = setTimeout(run, delayMs);
    return () => clearTimeout(timer);
  }
}

/** A clock that never jumps; it begins at the time of day of its start. */
export class SteadyClock extends SystemClock {
  override now(): number {
    return performance.timeOrigin + performance.now();
  }
}
