import { MAX_DISTRIBUTIONS, MIN_RUNS } from "./constants.ts";
import { buildPrior, RatioDistribution } from "./ratio_distribution.ts";
import type { DistributionSnapshot, RunShape } from "./types.ts";

/** Spread of the ratio of actual to estimated run times before any run has ended. */
const PRIOR_SPREAD = 0.6;

/**
 * Distributions of the ratio of actual to estimated run times, by queue, organisation
 * and shape of the step; with the queue, the service and a prior to fall back to.
 */
export class DistributionTable {
  /** Least recently observed first. */
  readonly #distributions = new Map<string, RatioDistribution>();
  readonly #prior = buildPrior(PRIOR_SPREAD);

  /** Adds the ratio of one run. */
  add(
    shape: RunShape,
    run: { ratio: number; isCensored: boolean; now: number },
  ): void {
    for (const key of listKeys(shape)) {
      const distribution = this.#distributions.get(key) ??
        new RatioDistribution(run.now);
      distribution.add(run.ratio, run);
      this.#set(key, distribution);
    }
  }

  /** Finds the most specific distribution with enough runs, or the prior. */
  find(shape: RunShape, now: number): RatioDistribution {
    for (const key of listKeys(shape)) {
      const distribution = this.#distributions.get(key);
      if (distribution && distribution.measureRuns(now) >= MIN_RUNS) {
        return distribution;
      }
    }
    return this.#prior;
  }

  /** Exports all distributions. */
  collectDistributions(): DistributionSnapshot[] {
    return [...this.#distributions].map(([key, distribution]) => ({
      key,
      ...distribution.collectBuckets(),
    }));
  }

  /** Restores exported distributions. */
  restore(distributions: readonly DistributionSnapshot[], now: number): void {
    for (const { key, ...buckets } of distributions) {
      const distribution = new RatioDistribution(now);
      distribution.restore(buckets);
      this.#set(key, distribution);
    }
  }

  /** Describes the distributions for a dump. */
  describe(now: number): unknown {
    return [...this.#distributions].map(([key, distribution]) => ({
      key,
      runs: Math.round(distribution.measureRuns(now)),
      median: distribution.estimate(0.5),
      p90: distribution.estimate(0.9),
    }));
  }

  #set(key: string, distribution: RatioDistribution): void {
    this.#distributions.delete(key);
    this.#distributions.set(key, distribution);
    if (this.#distributions.size <= MAX_DISTRIBUTIONS) return;
    const [oldest] = this.#distributions.keys();
    this.#distributions.delete(oldest);
  }
}

/** Lists the keys of a shape's distributions, the most specific one first. */
function listKeys(shape: RunShape): string[] {
  const { service, queue, organisation, tasks, milliCores, isGang } = shape;
  const kind = isGang ? "gang" : "single";
  // Powers of 4 and 2: the number of keys stays small.
  const width = Math.round(Math.log2(Math.max(1, tasks)) / 2);
  const cores = Math.round(Math.log2(Math.max(1, milliCores)));
  return [
    `${service}|${queue}|${organisation}|${kind}|${width}|${cores}`,
    `${service}|${queue}|${kind}`,
    `${service}|${kind}`,
  ];
}
