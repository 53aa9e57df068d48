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
 * Time without a settled call after which the prediction counts half, in milliseconds. A
 * prediction that no caller's deadline allows for sends no call that could correct it.
 */
const HALF_LIFE_MS = 5_000;

/**
 * Predicts how long the owner takes to settle a submission, from the last ones: the mean
 * and four deviations, as transports compute their time-outs. Load: submissions that are
 * held during a change of owner and sent just before their deadlines, without a chance
 * of an answer.
 */
export class CallTimes {
  #meanMs = 0;
  #deviationMs = 0;
  #observedAt = Number.NEGATIVE_INFINITY;

  /** Adds the time that a settled call took. */
  observe(elapsedMs: number, now: number): void {
    const weight = this.#computeWeight(now);
    this.#meanMs *= weight;
    this.#deviationMs *= weight;
    this.#observedAt = now;
    const difference = elapsedMs - this.#meanMs;
    this.#deviationMs += (Math.abs(difference) - this.#deviationMs) *
      DEVIATION_WEIGHT;
    this.#meanMs += difference * MEAN_WEIGHT;
  }

  /** Predicts the time that nearly every call takes at most, in milliseconds. */
  predict(now: number): number {
    const observedMs = this.#meanMs + DEVIATIONS * this.#deviationMs;
    const predictedMs = observedMs * this.#computeWeight(now);
    return Math.min(MAX_CALL_MS, Math.max(MIN_CALL_MS, predictedMs));
  }

  /** Computes the weight of the calls up to the last one. */
  #computeWeight(now: number): number {
    return 2 ** ((this.#observedAt - now) / HALF_LIFE_MS);
  }
}
