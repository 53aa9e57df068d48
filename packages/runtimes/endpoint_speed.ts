import { MAX_SPEED_RUNS, MIN_SLOWDOWN, SLOWDOWN_HOLD_MS } from "./constants.ts";
import { computeMedian } from "./median_tracker.ts";
import type { RunProgress } from "./run_progress.ts";
import type { EndpointLifetime } from "./types.ts";

/**
 * Distance from the median, as a logarithm, beyond which a run does not count: a
 * factor of 3.3, below the 7 of tail runs and above twice the usual spread of 0.5.
 */
const OUTLIER = 1.2;

/** Age up to which a measured pace counts, in milliseconds. */
const PACE_AGE_MS = 2_500;

/** Paces, relative to the reference, at which a slowdown begins and ends. */
const SLOW_PACE = 0.6;
const USUAL_PACE = 0.75;

/**
 * Pace relative to the estimates at which a slowdown ends. Estimates are less exact
 * than a run's own pace, and half lies between a slowdown of 5 and none.
 */
const ESTIMATED_USUAL_PACE = 0.5;

/**
 * Speed of one lifetime of an endpoint, relative to the estimates of its runs, as a
 * logarithm; and a slowdown, which shows in the pace of its runs.
 */
export class EndpointSpeed {
  readonly id: string;
  readonly service: string;
  readonly labels: string[];
  /** Key of endpoints that are alike. */
  readonly group: string;
  readonly bornAt: number;
  /** Observed runs that have not ended. */
  readonly runs: RunProgress[] = [];
  /** Logarithms of the speeds that runs have shown, newest last. */
  readonly samples: number[] = [];
  /** Mean of the samples without outliers. */
  mean = 0;
  /** Number of samples without outliers, and their squared deviations. */
  counted = 0;
  squares = 0;
  #slowdown = 1;
  #slowdownAt = 0;

  constructor({ id, service, labels, bornAt }: EndpointLifetime) {
    this.id = id;
    this.service = service;
    this.labels = [...labels];
    this.group = this.labels.toSorted().join(" ");
    this.bornAt = bornAt;
  }

  /** Drops a run that has ended. */
  dropRun(run: RunProgress): void {
    const index = this.runs.indexOf(run);
    if (index >= 0) this.runs.splice(index, 1);
  }

  /** Adds the logarithm of the speed that one run has shown. */
  addSample(sample: number): void {
    const { samples } = this;
    samples.push(sample);
    if (samples.length > MAX_SPEED_RUNS) samples.shift();
    const median = computeMedian(samples);
    let sum = 0;
    this.counted = 0;
    for (const value of samples) {
      if (Math.abs(value - median) > OUTLIER) continue;
      sum += value;
      this.counted++;
    }
    if (this.counted === 0) {
      this.counted = 1;
      sum = median;
    }
    this.mean = sum / this.counted;
    this.squares = 0;
    for (const value of samples) {
      if (Math.abs(value - median) > OUTLIER) continue;
      this.squares += (value - this.mean) ** 2;
    }
  }

  /** Returns the share of the usual speed at which the endpoint runs now, up to 1. */
  getSlowdown(now: number): number {
    const isForgotten = now - this.#slowdownAt > SLOWDOWN_HOLD_MS;
    return isForgotten ? 1 : this.#slowdown;
  }

  /** Updates the slowdown after the pace of a run was measured. */
  updateSlowdown({ paceLimit }: RunProgress, now: number): void {
    // A usual pace begins no slowdown; most listings end here.
    if (this.#slowdown === 1 && paceLimit >= SLOW_PACE) return;
    const ownPaces: RunProgress[] = [];
    const estimatedPaces: RunProgress[] = [];
    for (const run of this.runs) {
      if (now - run.paceAt > PACE_AGE_MS) continue;
      (run.beganSlow ? estimatedPaces : ownPaces).push(run);
    }
    if (ownPaces.length > 0) {
      const run = findUpperMedian(ownPaces);
      const limit = this.#slowdown < 1 ? USUAL_PACE : SLOW_PACE;
      const isSlow = run.paceLimit < limit;
      this.#slowdown = isSlow ? Math.max(MIN_SLOWDOWN, run.paceRatio) : 1;
    } else if (estimatedPaces.length > 0) {
      const { paceRatio } = findUpperMedian(estimatedPaces);
      if (paceRatio >= ESTIMATED_USUAL_PACE) this.#slowdown = 1;
    } else return;
    this.#slowdownAt = now;
  }
}

/**
 * Finds the run with the median pace; of two the faster one, so that one of two runs
 * without progress makes no slow endpoint.
 */
function findUpperMedian(runs: RunProgress[]): RunProgress {
  return runs.sort((a, b) => a.paceRatio - b.paceRatio)[runs.length >> 1];
}
