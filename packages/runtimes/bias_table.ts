import { MAX_STEP_BIASES, MIN_BIAS_RUNS } from "./constants.ts";
import { MedianTracker } from "./median_tracker.ts";
import type { RunShape } from "./types.ts";

/** Values that a new tracker of an organisation or step takes from its parent. */
const INHERITED_RUNS = 2;

/**
 * Bias of the estimates: the median of the logarithm of actual time x speed / estimate.
 * It is separated from the speeds of endpoints by queue, by organisation within it,
 * and by step, as the tasks of one step share the error of one estimate.
 */
export class BiasTable {
  readonly #queues = new Map<string, MedianTracker>();
  /** Trackers of organisations and steps, least recently observed first. */
  readonly #details = new Map<string, MedianTracker>();

  /** Returns the bias for a run; `undefined` while its queue has too few runs. */
  find(shape: RunShape, step: string): number | undefined {
    const queue = this.#queues.get(formatQueue(shape));
    if (!queue || queue.count < MIN_BIAS_RUNS) return undefined;
    const detail = this.#details.get(step) ??
      this.#details.get(formatOrganisation(shape));
    return (detail ?? queue).median;
  }

  /** Adds the logarithm of a run's time at speed 1 relative to its estimate. */
  add(shape: RunShape, step: string, { value }: { value: number }): void {
    const key = formatQueue(shape);
    let queue = this.#queues.get(key);
    if (!queue) {
      queue = new MedianTracker();
      this.#queues.set(key, queue);
    }
    queue.add(value);
    if (queue.count < MIN_BIAS_RUNS) return;
    const organisation = this.#open(formatOrganisation(shape), queue);
    organisation.add(value);
    this.#open(step, organisation).add(value);
  }

  /** Exports the biases of queues and organisations. */
  collectBiases(): [string, number, number][] {
    return [...this.#queues].map(([key, { count, median }]) => [
      key,
      count,
      median,
    ]);
  }

  /** Restores the biases of queues. */
  restore(biases: readonly [string, number, number][]): void {
    for (const [key, count, median] of biases) {
      const tracker = new MedianTracker();
      tracker.restore({ count, median });
      this.#queues.set(key, tracker);
    }
  }

  #open(key: string, parent: MedianTracker): MedianTracker {
    const tracker = this.#details.get(key) ??
      new MedianTracker(parent.median, INHERITED_RUNS);
    // Deleted first, so that the map's order is that of the last observations.
    this.#details.delete(key);
    this.#details.set(key, tracker);
    if (this.#details.size > MAX_STEP_BIASES) {
      const [oldest] = this.#details.keys();
      this.#details.delete(oldest);
    }
    return tracker;
  }
}

function formatQueue({ service, queue }: RunShape): string {
  return `${service}|${queue}`;
}

function formatOrganisation(shape: RunShape): string {
  return `${formatQueue(shape)}|${shape.organisation}`;
}
