import type { EndpointSpeed } from "./endpoint_speed.ts";
import { LAST_PERCENT } from "./constants.ts";
import { PaceWindow } from "./pace_window.ts";
import type { ListedProgress, RunShape, RunStart } from "./types.ts";

/** Progress from which a run is compared with the estimate, and least at its end. */
const RATED_PERCENT = 50;
const MIN_RATED_PERCENT = 20;

/** Observed progress of one run. Times: steady clock, in milliseconds. */
export class RunProgress {
  readonly shape: RunShape;
  readonly step: string;
  readonly endpoint: EndpointSpeed;
  readonly startedAt: number | undefined;
  /** The endpoint was slow when the run was seen first: its own pace says nothing. */
  readonly beganSlow: boolean;
  /** The run has been compared with its estimate. */
  isRated = false;
  /** Newest pace relative to the reference, and when it was measured. */
  paceRatio = 1;
  /** Highest pace that the listed percent, which have no decimals, allow. */
  paceLimit = 1;
  paceAt = Number.NEGATIVE_INFINITY;
  readonly #clockOffset: number;
  /** Progress from which work and time are counted; undefined: not listed yet. */
  #basePercent: number | undefined;
  /** Newest listing. */
  #percent = 0;
  #at: number;
  /** Time since the base, less what slowdowns of the endpoint took. */
  #workMs = 0;
  /** Time that slowdowns took from the whole run. */
  #lostMs = 0;
  readonly #window = new PaceWindow();

  constructor(start: RunStart, endpoint: EndpointSpeed) {
    this.shape = start.shape;
    this.step = start.step;
    this.endpoint = endpoint;
    this.startedAt = start.startedAt;
    this.beganSlow = endpoint.getSlowdown(start.now) < 1;
    this.#clockOffset = start.clockOffset;
    this.#at = start.startedAt ?? start.now;
    // The members of a gang wait for each other before they begin.
    if (start.startedAt !== undefined && !start.shape.isGang) {
      this.#setBase(0, start);
    }
  }

  /** Time that slowdowns of the endpoint took from the run, in milliseconds. */
  get lostMs(): number {
    return this.#lostMs;
  }

  /**
   * Applies a listing. `expectedMs`: run time that the pace is compared with if the
   * run's own pace is no reference; undefined: none. Returns whether a pace was
   * measured.
   */
  update(listed: ListedProgress, expectedMs: number | undefined): boolean {
    const { percent } = listed;
    const at = listed.clockMs - this.#clockOffset;
    // At its last percent, a member of a gang waits for the slowest one.
    const isWaiting = this.shape.isGang && percent >= LAST_PERCENT;
    if (isWaiting || at <= this.#at) return false;
    if (this.#isBaseOutdated(percent)) {
      this.#setBase(percent, { startedAt: at, now: listed.now });
      return false;
    }
    this.#countTime(at, listed.now);
    this.#percent = percent;
    // A run that has done its work may be listed until its end is.
    if (percent >= LAST_PERCENT) return false;
    return this.#measurePace(listed.now, expectedMs);
  }

  /**
   * Estimates the time of all the work from the progress so far, in milliseconds;
   * `undefined` while there is too little.
   */
  estimateTotal({ isEnded }: { isEnded: boolean }): number | undefined {
    const done = this.#percent - (this.#basePercent ?? this.#percent);
    const least = isEnded ? MIN_RATED_PERCENT : RATED_PERCENT;
    if (done < least || this.#workMs <= 0) return undefined;
    return this.#workMs * 100 / done;
  }

  /** Counts the time until the end of a run that has done all its work. */
  finish(now: number): void {
    if (this.#basePercent === undefined) return;
    this.#countTime(Math.max(now, this.#at), now);
    this.#percent = 100;
  }

  #countTime(until: number, now: number): void {
    const elapsedMs = until - this.#at;
    const workMs = elapsedMs * this.endpoint.getSlowdown(now);
    this.#workMs += workMs;
    this.#lostMs += elapsedMs - workMs;
    this.#at = until;
  }

  /** Returns whether the base has to be set or moved. */
  #isBaseOutdated(percent: number): boolean {
    if (this.#basePercent === undefined || percent < this.#percent) return true;
    // Members of a gang wait for each other at the start, and a run loads its
    // checkpoint; neither makes progress meanwhile.
    const mayWait = this.shape.isGang || this.startedAt === undefined;
    return mayWait && percent === this.#basePercent;
  }

  #setBase(
    percent: number,
    { startedAt, now }: { startedAt?: number; now: number },
  ): void {
    const at = startedAt ?? now;
    this.#basePercent = percent;
    this.#percent = percent;
    this.#at = at;
    this.#workMs = 0;
    const slowdown = this.endpoint.getSlowdown(now);
    this.#window.clear({ at, percent, slowdown });
  }

  #measurePace(now: number, expectedMs: number | undefined): boolean {
    // The pace of a run that began during a slowdown is no reference.
    if (this.beganSlow && expectedMs === undefined) return false;
    const point = {
      at: this.#at,
      percent: this.#percent,
      slowdown: this.endpoint.getSlowdown(now),
    };
    const pace = this.#window.measure(
      point,
      this.beganSlow && expectedMs !== undefined ? 100 / expectedMs : undefined,
    );
    if (!pace) return false;
    this.paceRatio = pace.done / pace.expected;
    this.paceLimit = (pace.done + 1) / pace.expected;
    this.paceAt = now;
    return true;
  }
}
