import type { QueueCalibration, RunResult } from "./types.ts";

/** Runs over which the shares are averaged, with falling weight. */
const AVERAGED_RUNS = 200;

interface Shares {
  runs: number;
  weight: number;
  belowMedian: number;
  belowP90: number;
}

/** Measures how well the predicted run times of each queue match. */
export class Calibration {
  readonly #queues = new Map<string, Shares>();

  /** Adds a completed run. */
  add(
    queue: string,
    { actualMs, predictedMs, predictedP90Ms }: RunResult,
  ): void {
    let shares = this.#queues.get(queue);
    if (!shares) {
      shares = { runs: 0, weight: 0, belowMedian: 0, belowP90: 0 };
      this.#queues.set(queue, shares);
    }
    const decay = 1 - 1 / AVERAGED_RUNS;
    shares.runs++;
    shares.weight = shares.weight * decay + 1;
    shares.belowMedian = shares.belowMedian * decay +
      (actualMs <= predictedMs ? 1 : 0);
    shares.belowP90 = shares.belowP90 * decay +
      (actualMs <= predictedP90Ms ? 1 : 0);
  }

  /** Lists the shares of all queues. */
  list(): QueueCalibration[] {
    return [...this.#queues].map(([queue, shares]) => ({
      queue,
      runs: shares.runs,
      belowMedian: shares.belowMedian / shares.weight,
      belowP90: shares.belowP90 / shares.weight,
    }));
  }
}
