/** Shortest window in which a change of a run's pace is measured, in milliseconds. */
const MIN_WINDOW_MS = 300;

/**
 * Progress that a window is expected to show. A slowdown of factor 5 then shows at most
 * 1%, as `percent` has no decimals; that allows for a pace of 2 / 3.4, below 0.6.
 */
const WINDOW_PERCENT = 3.4;

/** Points in a window; listings between them are not kept. */
const MAX_POINTS = 8;

/** Progress from which a run's own pace is a reference. */
const MIN_OWN_PERCENT = 8;

/** Progress of a run at one moment, and the share of usual speed it had then. */
export interface PacePoint {
  at: number;
  percent: number;
  slowdown: number;
}

/** Progress in the newest window, and what the reference lets expect, in percent. */
export interface WindowPace {
  done: number;
  expected: number;
}

/**
 * The newest progress of a run, beside the pace that it has had before: a window that
 * slides with each listing, so that a change shows once it has lasted for one window.
 */
export class PaceWindow {
  /** Listings since the start of the window, the oldest one first. */
  readonly #points: PacePoint[] = [];
  /** Progress and time before the window, at the usual speed of the endpoint. */
  #ownPercent = 0;
  #ownMs = 0;

  /** Begins anew at a point; the pace before it says nothing. */
  clear(point: PacePoint): void {
    this.#points.length = 0;
    this.#points.push(point);
    this.#ownPercent = 0;
    this.#ownMs = 0;
  }

  /**
   * Measures the pace up to a point; `undefined` while the window is too short.
   * `fixedRate`: percent per millisecond to compare with instead of the run's own pace.
   */
  measure(
    point: PacePoint,
    fixedRate: number | undefined,
  ): WindowPace | undefined {
    const hasOwnRate = this.#ownPercent >= MIN_OWN_PERCENT;
    if (fixedRate === undefined && !hasOwnRate) {
      this.#addPoint(point, 0);
      while (this.#points.length > 1) this.#addOldest(point);
      return undefined;
    }
    const rate = fixedRate ?? this.#ownPercent / this.#ownMs;
    const computeExpected = ({ at }: PacePoint) => rate * (point.at - at);
    const isWindow = (start: PacePoint | undefined) =>
      start !== undefined && point.at - start.at >= MIN_WINDOW_MS &&
      computeExpected(start) >= WINDOW_PERCENT;
    this.#addPoint(point, WINDOW_PERCENT / MAX_POINTS / rate);
    while (isWindow(this.#points[1])) this.#addOldest(point);
    const [start] = this.#points;
    if (!isWindow(start)) return undefined;
    return {
      done: point.percent - start.percent,
      expected: computeExpected(start),
    };
  }

  #addPoint(point: PacePoint, minDistanceMs: number): void {
    const newest = this.#points.at(-1);
    if (newest && point.at - newest.at < minDistanceMs) return;
    this.#points.push(point);
  }

  /** Moves the oldest part of the window to the reference. */
  #addOldest({ slowdown }: PacePoint): void {
    const [start, end] = this.#points;
    this.#points.shift();
    // A slowdown began or ended since: the pace of this part is mixed.
    const isMixed = (end.slowdown < 1) !== (slowdown < 1);
    if (isMixed) return;
    this.#ownPercent += end.percent - start.percent;
    this.#ownMs += (end.at - start.at) * slowdown;
  }
}
