import { MIN_SAMPLES, SMOOTHING } from "./constants.ts";

/** Measured service times by queue, as a moving average. */
export class ServiceTimes {
  readonly #averages = new Map<string, { ms: number; samples: number }>();

  /** Records how long one task ran, in milliseconds. */
  observe(queue: string, ms: number): void {
    const known = this.#averages.get(queue);
    if (!known) {
      this.#averages.set(queue, { ms, samples: 1 });
      return;
    }
    known.ms += (ms - known.ms) * SMOOTHING;
    known.samples += 1;
  }

  /** Returns the mean service time, or nothing before enough tasks ran. */
  estimate(queue: string): number | undefined {
    const known = this.#averages.get(queue);
    if (!known || known.samples < MIN_SAMPLES) return undefined;
    return known.ms;
  }

  /** Predicts the wait behind `ahead` tasks on `slots`, in milliseconds. */
  predictWait(queue: string, load: { ahead: number; slots: number }): number {
    const mean = this.estimate(queue) ?? 0;
    if (load.slots === 0) return 0;
    return mean * load.ahead / load.slots;
  }
}
