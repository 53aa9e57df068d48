import type { Present } from "../cell/mod.ts";

/** Difference of the two clocks that is taken for a suspension, in ms. */
const SUSPENSION_MS = 800;

/**
 * Notices that the VM was suspended: the steady clock does not count that time
 * and the time of day does. A time of day that is set ahead looks the same.
 */
export class SuspensionGuard {
  #offset: number | undefined;

  /** Tells whether the VM was suspended since the last call. */
  checkSuspension({ now, wallNow }: Present): boolean {
    const offset = wallNow - now;
    const last = this.#offset;
    this.#offset = offset;
    return last !== undefined && offset - last > SUSPENSION_MS;
  }
}
