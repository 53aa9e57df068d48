/** Values whose exact median is used before it is tracked in steps. */
const EXACT_VALUES = 15;

/** Smallest and largest step of the tracked median. */
const MIN_STEP = 0.01;
const MAX_STEP = 0.25;

/** Steps in the same direction after which the step doubles. */
const STREAK = 6;

/**
 * Median of a stream of logarithms, decayed: exact for the first values, then moved
 * by a small step towards each value. Steps grow while all values lie on one side, so
 * that a change of the stream is followed.
 */
export class MedianTracker {
  /** The first values, sorted. */
  readonly #first: number[] = [];
  #median: number;
  #count = 0;
  #step = MIN_STEP;
  /** Steps in one direction, negative for downwards. */
  #streak = 0;

  /** `initial` is the median until values are added, and counts as `weight` values. */
  constructor(initial = 0, weight = 0) {
    this.#median = initial;
    for (let n = 0; n < weight; n++) this.#first.push(initial);
  }

  get median(): number {
    return this.#median;
  }

  /** Number of values that were added. */
  get count(): number {
    return this.#count;
  }

  /** Adds a value. */
  add(value: number): void {
    this.#count++;
    if (this.#first.length < EXACT_VALUES) {
      this.#addFirst(value);
      return;
    }
    const direction = Math.sign(value - this.#median);
    const isSame = direction * this.#streak > 0;
    this.#streak = isSame ? this.#streak + direction : direction;
    const isLongStreak = Math.abs(this.#streak) > STREAK;
    this.#step = isLongStreak ? Math.min(MAX_STEP, this.#step * 2) : MIN_STEP;
    this.#median += direction * Math.min(
      this.#step,
      Math.abs(value - this.#median),
    );
  }

  #addFirst(value: number): void {
    const values = this.#first;
    let index = values.length;
    for (; index > 0 && values[index - 1] > value; index--) {
      values[index] = values[index - 1];
    }
    values[index] = value;
    this.#median = getMiddle(values);
  }

  /** Sets the state that a former owner has stored. */
  restore({ count, median }: { count: number; median: number }): void {
    this.#count = count;
    this.#median = median;
    this.#first.length = 0;
    for (let n = 0; n < Math.min(count, EXACT_VALUES); n++) {
      this.#first.push(median);
    }
  }
}

/** Computes the median of a non-empty list. */
export function computeMedian(values: readonly number[]): number {
  return getMiddle(new Float64Array(values).sort());
}

function getMiddle(sorted: ArrayLike<number>): number {
  const middle = sorted.length >> 1;
  return sorted.length % 2 === 1
    ? sorted[middle]
    : (sorted[middle - 1] + sorted[middle]) / 2;
}
