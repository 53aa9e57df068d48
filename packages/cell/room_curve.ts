/** Width of the first intervals of a curve, in milliseconds. */
const MIN_WIDTH_MS = 50;

/** Width of an interval as a fraction of its start; an error of 5% is of no matter. */
const WIDTH_RATIO = 0.05;

/** Time that a curve covers, in milliseconds: far beyond any latency objective. */
const HORIZON_MS = 1_200_000;

/** Starts of the intervals of all curves, in milliseconds from the forecast. */
const STARTS: readonly number[] = buildStarts();

function buildStarts(): number[] {
  const starts: number[] = [];
  for (let at = 0; at < HORIZON_MS;) {
    starts.push(at);
    at += Math.max(MIN_WIDTH_MS, at * WIDTH_RATIO);
  }
  return starts;
}

/** Width of the steps of `FIRST_FROM`, in milliseconds. */
const STEP_MS = MIN_WIDTH_MS;

/** First interval that starts at each step or later; the last one is for later times. */
const FIRST_FROM: readonly number[] = buildFirstIntervals();

function buildFirstIntervals(): number[] {
  const indexes: number[] = [];
  let index = 0;
  for (let at = 0; at < HORIZON_MS; at += STEP_MS) {
    while (index < STARTS.length && STARTS[index] < at) index++;
    indexes.push(index);
  }
  return indexes;
}

/** Room that becomes free. */
export interface RoomRelease {
  /** Time from the forecast, in milliseconds; infinite: never. */
  afterMs: number;
  /** Thousandths of a core. */
  milliCores: number;
}

/** Tasks of one step that are placed on a curve. Times: from the forecast, in ms. */
export interface PlacedTasks {
  tasks: number;
  /** Demand of one task, in thousandths of a core. */
  milliCores: number;
  durationMs: number;
  /** All tasks start at one moment. */
  isGang: boolean;
  /** Fraction of the free room that the tasks can use: 0 to 1. */
  share: number;
  /** Earliest start. */
  fromMs: number;
}

/** When placed tasks start, from the forecast, in ms; infinite: never. */
export interface PlacedStarts {
  firstMs: number;
  lastMs: number;
}

/**
 * Largest fraction of all room that a gang waits for, unless its tasks alone take more.
 * Reservations clear the endpoints that a gang may use while the others stay busy.
 */
const MAX_GANG_WAIT_FRACTION = 0.6;

/**
 * Free room of a service over time, in intervals that widen with their distance. Answers
 * the load of many submissions for each plan: placing a step costs the same however many
 * runs there are. Times are rounded to the later interval.
 */
export class RoomCurve {
  /** Free room in each interval, in thousandths of a core. */
  readonly #free: Float64Array;

  private constructor(free: Float64Array) {
    this.#free = free;
  }

  /** Builds the curve of room that is released and not used again. */
  static build(releases: Iterable<RoomRelease>): RoomCurve {
    const free = new Float64Array(STARTS.length);
    for (const { afterMs, milliCores } of releases) {
      const index = findIntervalFrom(afterMs);
      if (index < free.length) free[index] += milliCores;
    }
    for (let index = 1; index < free.length; index++) {
      free[index] += free[index - 1];
    }
    return new RoomCurve(free);
  }

  /** Makes an independent copy. */
  copy(): RoomCurve {
    return new RoomCurve(this.#free.slice());
  }

  /** Returns the free room at a time from the forecast, in thousandths of a core. */
  getFree(atMs: number): number {
    return this.#free[findIntervalAt(atMs)];
  }

  /** Places tasks at the earliest times at which there is room, and takes the room. */
  addTasks(placed: PlacedTasks): PlacedStarts {
    if (placed.milliCores <= 0) {
      return { firstMs: placed.fromMs, lastMs: placed.fromMs };
    }
    return placed.isGang ? this.#addGang(placed) : this.#addSeparately(placed);
  }

  #addGang(placed: PlacedTasks): PlacedStarts {
    const { tasks, milliCores, durationMs, share, fromMs } = placed;
    const taken = tasks * milliCores;
    const allRoom = this.#free[this.#free.length - 1];
    const needed = Math.max(
      taken,
      Math.min(taken / share, allRoom * MAX_GANG_WAIT_FRACTION),
    );
    const startMs = this.#findStart({ needed, durationMs, fromMs });
    if (Number.isFinite(startMs)) {
      const from = findIntervalAt(startMs);
      this.#claimRoom({ from, until: startMs + durationMs, milliCores: taken });
    }
    return { firstMs: startMs, lastMs: startMs };
  }

  /** Finds the earliest time from which room is free for the whole duration. */
  #findStart(
    options: { needed: number; durationMs: number; fromMs: number },
  ): number {
    const { needed, durationMs, fromMs } = options;
    const free = this.#free;
    let first = findIntervalAt(fromMs);
    for (let index = first; index < free.length; index++) {
      if (free[index] < needed) {
        first = index + 1;
        continue;
      }
      const startMs = Math.max(fromMs, STARTS[first]);
      const nextMs = STARTS[index + 1] ?? Number.POSITIVE_INFINITY;
      if (nextMs >= startMs + durationMs) return startMs;
    }
    return Number.POSITIVE_INFINITY;
  }

  #addSeparately(placed: PlacedTasks): PlacedStarts {
    const { tasks, milliCores, durationMs, share, fromMs } = placed;
    const free = this.#free;
    /** Room that these tasks take themselves, in each interval. */
    const own = new Float64Array(free.length);
    const starts: PlacedStarts = {
      firstMs: Number.POSITIVE_INFINITY,
      lastMs: Number.POSITIVE_INFINITY,
    };
    let remaining = tasks;
    for (
      let index = findIntervalAt(fromMs);
      index < free.length && remaining > 0;
      index++
    ) {
      const startMs = Math.max(fromMs, STARTS[index]);
      const until = startMs + durationMs;
      let usable = Number.POSITIVE_INFINITY;
      for (let at = index; at < free.length && usable >= milliCores; at++) {
        if (at > index && STARTS[at] >= until) break;
        const room = free[at] + own[at];
        // A share is a mean: one task may use an endpoint that is larger than it.
        const usableNow = Math.max(share * room, Math.min(room, milliCores));
        usable = Math.min(usable, usableNow - own[at]);
      }
      const count = Math.min(remaining, Math.floor(usable / milliCores));
      if (count <= 0) continue;
      const taken = count * milliCores;
      this.#claimRoom({ from: index, until, milliCores: taken, own });
      remaining -= count;
      starts.firstMs = Math.min(starts.firstMs, startMs);
      if (remaining === 0) starts.lastMs = startMs;
    }
    return starts;
  }

  #claimRoom(
    options: {
      /** Index of the first interval. */
      from: number;
      until: number;
      milliCores: number;
      own?: Float64Array;
    },
  ): void {
    const { from, until, milliCores, own } = options;
    for (let index = from; index < this.#free.length; index++) {
      if (index > from && STARTS[index] >= until) return;
      this.#free[index] -= milliCores;
      if (own) own[index] += milliCores;
    }
  }
}

/** Finds the interval that contains a time. */
function findIntervalAt(atMs: number): number {
  const index = findIntervalFrom(atMs);
  if (index >= STARTS.length) return STARTS.length - 1;
  return STARTS[index] > atMs ? index - 1 : index;
}

/** Finds the first interval that starts at a time or later. */
function findIntervalFrom(atMs: number): number {
  if (atMs >= HORIZON_MS) return STARTS.length;
  let index = FIRST_FROM[Math.max(0, Math.floor(atMs / STEP_MS))];
  while (index < STARTS.length && STARTS[index] < atMs) index++;
  return index;
}
