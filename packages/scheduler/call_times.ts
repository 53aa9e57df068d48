/** Weight of the newest call in the mean, and in the mean deviation. */
const MEAN_WEIGHT = 0.125;
const DEVIATION_WEIGHT = 0.25;

/** Deviations above the mean that nearly all calls stay below. */
const DEVIATIONS = 4;

/**
 * Bounds of the predicted time, in milliseconds: a commit takes at least one round trip
 * to the store, and a few slow ones must not keep all submissions from the owner.
 */
const MIN_CALL_MS = 50;
const MAX_CALL_MS = 500;

/**
 * Predicts how long the owner takes to settle a submission, from the last ones: the mean
 * and four deviations, as transports compute their time-outs. Load: submissions that are
 * held during a change of owner and sent just before their deadlines, without a chance
 * of an answer.
 */
export class CallTimes {
  #meanMs = 0;
  #deviationMs = 0;

  /** Adds the time that a settled call took. */
  observe(elapsedMs: number): void {
    const difference = elapsedMs - this.#meanMs;
    this.#deviationMs += (Math.abs(difference) - this.#deviationMs) *
      DEVIATION_WEIGHT;
    this.#meanMs += difference * MEAN_WEIGHT;
  }

  /** Predicts the time that nearly every call takes at most, in milliseconds. */
  predict(): number {
    const predictedMs = this.#meanMs + DEVIATIONS * this.#deviationMs;
    return Math.min(MAX_CALL_MS, Math.max(MIN_CALL_MS, predictedMs));
  }
}
