/** Source of the present time for the outermost loops. */
export abstract class Clock {
  /** Returns milliseconds since the Unix epoch. */
  abstract now(): number;
}

/** The machine's clock. */
export class SystemClock extends Clock {
  override now(): number {
    return Date.now();
  }
}
