import type { Present } from "../cell/mod.ts";

/** Difference of the two clocks that is taken for a suspension, in ms. */
const SUSPENSION_MS = 800;

/**
 * Notices that the VM was suspended: the steady clock does not count that time
 * and the time of day does. A time of day that is set ahead looks the same.
 */
export class SuspensionGuard {
  #clockOffset: number | undefined;

  /** Tells whether the VM was suspended since the last call. */
  checkSuspension({ now, wallNow }: Present): boolean {
    const clockOffset = wallNow - now;
    const previousOffset = this.#clockOffset;
    this.#clockOffset = clockOffset;
    return previousOffset !== undefined &&
      clockOffset - previousOffset > SUSPENSION_MS;
  }
}
