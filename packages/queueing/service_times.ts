import { MIN_SAMPLES, SMOOTHING_FACTOR } from "./constants.ts";

/** Exponential moving averages of the tasks' service times, by queue. */
export class ServiceTimes {
  readonly #averages = new Map<string, { ms: number; samples: number }>();

  /** Records the service time of one task: how long it ran, in ms. */
  observe(queue: string, ms: number): void {
    const average = this.#averages.get(queue);
    if (!average) {
      this.#averages.set(queue, { ms, samples: 1 });
      return;
    }
    average.ms += (ms - average.ms) * SMOOTHING_FACTOR;
    average.samples += 1;
  }

  /** Returns the mean service time in ms; undefined with too few samples. */
  estimate(queue: string): number | undefined {
    const average = this.#averages.get(queue);
    if (!average || average.samples < MIN_SAMPLES) return undefined;
    return average.ms;
  }

  /**
   * Predicts the wait behind `ahead` tasks on `slots` slots, in ms; 0 with too
   * few samples or no slots.
   */
  predictWait(queue: string, load: { ahead: number; slots: number }): number {
    const mean = this.estimate(queue) ?? 0;
    if (load.slots === 0) return 0;
    return mean * load.ahead / load.slots;
  }
}
