import { Float64Histogram } from "hdr-histogram-js";
import { HALF_LIFE_MS } from "./constants.ts";

/** Value that a ratio of 1 is recorded as. */
const UNITS = 200;

/** Largest recorded value, a ratio of 500; each factor of 2 costs 16 buckets. */
const MAX_VALUE = 500 * UNITS;

/** Weight of a new observation from which all weights are scaled down. */
const MAX_WEIGHT = 2 ** 20;

/** Weight at risk below which the tail is extrapolated: three runs. */
const MIN_AT_RISK = 3;

/** Exponent of the power law by which a tail without runs is extrapolated. */
const TAIL_EXPONENT = 2;

/** Share of the runs beyond which the curve is computed again. */
const CURVE_REFRESH = 0.04;

/** Weights below this share of a run are not stored. */
const MIN_STORED_WEIGHT = 0.05;

/** Survival function of the ratios, at the ends of buckets with completed runs. */
interface Curve {
  /** Ends of the buckets, rising. */
  ends: number[];
  starts: number[];
  /** Share of runs that take longer than the end of the bucket. */
  survival: number[];
  /** Weight of runs that were observed beyond the start of the bucket. */
  atRisk: number[];
  /** Number of observations when the curve was computed. */
  count: number;
}

/**
 * Distribution of the ratio of actual to estimated run times, decayed by age. Runs
 * that were ended early count as "at least so long" (product-limit estimate over the
 * buckets of the histograms).
 */
export class RatioDistribution {
  readonly #completed = makeHistogram();
  #censored: Float64Histogram | undefined;
  #originAt: number;
  #count = 0;
  #completedWeight = 0;
  #curve: Curve | undefined;
  /** First and last bucket that was used. */
  readonly #range = { first: Number.POSITIVE_INFINITY, last: -1 };
  /** Weight of the newest observation. */
  #lastWeight = 1;

  constructor(now: number) {
    this.#originAt = now;
  }

  /** Adds the ratio of one run. */
  add(
    ratio: number,
    { isCensored, now }: { isCensored: boolean; now: number },
  ): void {
    const index = this.#completed.countsArrayIndex(computeValue(ratio));
    this.#addWeight(index, { isCensored, weight: this.#computeWeight(now) });
  }

  /** Returns the decayed weight of the completed runs. */
  measureRuns(now: number): number {
    return this.#completedWeight / this.#computeWeight(now);
  }

  /** Returns the ratio that this share of runs does not exceed. */
  estimate(quantile: number): number {
    const curve = this.#computeCurve();
    return findRatio(curve, 1 - quantile);
  }

  /**
   * Returns the ratio that this share of the runs which exceed `ratio` does not
   * exceed.
   */
  estimateBeyond(ratio: number, quantile: number): number {
    const curve = this.#computeCurve();
    const { survival, isThin } = findSurvival(curve, ratio, {
      minAtRisk: MIN_AT_RISK * this.#lastWeight,
    });
    const extrapolated = ratio * (1 - quantile) ** (-1 / TAIL_EXPONENT);
    if (isThin) return extrapolated;
    return Math.max(ratio, findRatio(curve, survival * (1 - quantile)));
  }

  /** Exports the weights, relative to a run that is observed now. */
  collectBuckets(): {
    completed: [number, number][];
    censored: [number, number][];
  } {
    const unit = this.#lastWeight;
    return {
      completed: listBuckets(this.#completed, unit),
      censored: this.#censored ? listBuckets(this.#censored, unit) : [],
    };
  }

  /** Adds exported weights. */
  restore(
    buckets: { completed: [number, number][]; censored: [number, number][] },
  ): void {
    const unit = this.#lastWeight;
    for (const isCensored of [false, true]) {
      const list = isCensored ? buckets.censored : buckets.completed;
      for (const [index, weight] of list) {
        const isValid = Number.isInteger(index) && index >= 0 &&
          index < this.#completed.countsArrayLength && weight > 0;
        if (isValid) {
          this.#addWeight(index, { isCensored, weight: weight * unit });
        }
      }
    }
  }

  /** Computes the weight of a new observation, which grows as older ones decay. */
  #computeWeight(now: number): number {
    const weight = 2 ** ((now - this.#originAt) / HALF_LIFE_MS);
    this.#lastWeight = Math.max(this.#lastWeight, weight);
    if (weight <= MAX_WEIGHT) return weight;
    this.#originAt = now;
    this.#lastWeight = 1;
    applyFactor(this.#completed, 1 / weight);
    if (this.#censored) applyFactor(this.#censored, 1 / weight);
    this.#completedWeight /= weight;
    this.#curve = undefined;
    return 1;
  }

  #addWeight(
    index: number,
    { isCensored, weight }: { isCensored: boolean; weight: number },
  ): void {
    this.#count++;
    this.#range.first = Math.min(this.#range.first, index);
    this.#range.last = Math.max(this.#range.last, index);
    if (isCensored) this.#censored ??= makeHistogram();
    else this.#completedWeight += weight;
    const histogram = isCensored ? this.#censored : this.#completed;
    histogram?.setCountAtIndex(
      index,
      histogram.getCountAtIndex(index) + weight,
    );
  }

  #computeCurve(): Curve {
    const last = this.#curve;
    const isFresh = last &&
      this.#count - last.count <= last.count * CURVE_REFRESH;
    if (isFresh) return last;
    const curve = computeCurve(this.#completed, this.#censored, this.#range);
    this.#curve = { ...curve, count: this.#count };
    return this.#curve;
  }
}

/** Builds the distribution of a log-normal ratio with median 1. */
export function buildPrior(spread: number): RatioDistribution {
  const distribution = new RatioDistribution(0);
  const histogram = makeHistogram();
  const completed: [number, number][] = [];
  for (let index = 1; index < histogram.countsArrayLength; index++) {
    const start = histogram.valueFromIndex(index);
    const end = histogram.nextNonEquivalentValue(start);
    const deviation = Math.log((start + end) / 2 / UNITS) / spread;
    const density = Math.exp(-deviation * deviation / 2);
    const weight = density * Math.log(end / start) * 100;
    if (weight > 1e-3) completed.push([index, weight]);
  }
  distribution.restore({ completed, censored: [] });
  return distribution;
}

function makeHistogram(): Float64Histogram {
  return new Float64Histogram(1, MAX_VALUE, 1);
}

function computeValue(ratio: number): number {
  return Math.min(MAX_VALUE, Math.max(1, Math.round(ratio * UNITS)));
}

function applyFactor(histogram: Float64Histogram, factor: number): void {
  for (let index = 0; index < histogram.countsArrayLength; index++) {
    const weight = histogram.getCountAtIndex(index);
    if (weight > 0) histogram.setCountAtIndex(index, weight * factor);
  }
}

function listBuckets(
  histogram: Float64Histogram,
  unit: number,
): [number, number][] {
  const buckets: [number, number][] = [];
  for (let index = 0; index < histogram.countsArrayLength; index++) {
    const weight = histogram.getCountAtIndex(index) / unit;
    if (weight < MIN_STORED_WEIGHT) continue;
    buckets.push([index, Math.round(weight * 100) / 100]);
  }
  return buckets;
}

function computeCurve(
  completed: Float64Histogram,
  censored: Float64Histogram | undefined,
  { first, last }: { first: number; last: number },
): Omit<Curve, "count"> {
  const curve: Omit<Curve, "count"> = {
    ends: [],
    starts: [],
    survival: [],
    atRisk: [],
  };
  let atRisk = 0;
  for (let index = first; index <= last; index++) {
    atRisk += completed.getCountAtIndex(index) +
      (censored?.getCountAtIndex(index) ?? 0);
  }
  let survival = 1;
  for (let index = first; index <= last; index++) {
    const done = completed.getCountAtIndex(index);
    const cut = censored?.getCountAtIndex(index) ?? 0;
    if (done > 0) {
      // On average, censored runs of the bucket were at risk for half of it.
      survival *= Math.max(0, 1 - done / Math.max(done, atRisk - cut / 2));
      const start = completed.valueFromIndex(index);
      curve.starts.push(start / UNITS);
      curve.ends.push(completed.nextNonEquivalentValue(start) / UNITS);
      curve.survival.push(survival);
      curve.atRisk.push(atRisk);
    }
    atRisk -= done + cut;
  }
  return curve;
}

/** Finds the ratio that a share `survival` of the runs exceeds. */
function findRatio(curve: Curve, survival: number): number {
  const { ends, starts } = curve;
  let previous = 1;
  for (let n = 0; n < ends.length; n++) {
    const next = curve.survival[n];
    if (next <= survival) {
      const part = previous > next
        ? (previous - survival) / (previous - next)
        : 1;
      return starts[n] + (ends[n] - starts[n]) * Math.min(1, Math.max(0, part));
    }
    previous = next;
  }
  // The rest of the runs was censored: nothing is known beyond the last end.
  return ends.at(-1) ?? 1;
}

/** Finds the share of runs that exceed `ratio`, and whether few of them do. */
function findSurvival(
  curve: Curve,
  ratio: number,
  { minAtRisk }: { minAtRisk: number },
): { survival: number; isThin: boolean } {
  const { ends, starts } = curve;
  let previous = 1;
  for (let n = 0; n < ends.length; n++) {
    if (ratio < ends[n]) {
      const isThin = curve.atRisk[n] < minAtRisk;
      if (ratio <= starts[n]) return { survival: previous, isThin };
      const part = (ratio - starts[n]) / (ends[n] - starts[n]);
      const survival = previous + (curve.survival[n] - previous) * part;
      return { survival, isThin };
    }
    previous = curve.survival[n];
  }
  return { survival: previous, isThin: true };
}
