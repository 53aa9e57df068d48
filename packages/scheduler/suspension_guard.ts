import type { CurrentTime } from "../cell/mod.ts";

/**
 * Time by which the wall clock must gain on the steady clock between two checks
 * to indicate a suspension, in milliseconds.
 */
const SUSPENSION_MS = 800;

/**
 * Detects that the VM was suspended: the wall clock advances during that time
 * and the steady clock does not. Setting the wall clock ahead looks the same.
 */
export class SuspensionGuard {
  #clockOffset: number | undefined;

  /** Returns true if the VM was suspended since the last call. */
  checkSuspension({ now, wallNow }: CurrentTime): boolean {
    const clockOffset = wallNow - now;
    const previousOffset = this.#clockOffset;
    this.#clockOffset = clockOffset;
    return previousOffset !== undefined &&
      clockOffset - previousOffset > SUSPENSION_MS;
  }
}

/**
 * Measures the time from `since` to `time`, in milliseconds. The steady clock
 * stops while the VM is suspended, and the wall clock can be set back, so the
 * longer of the times on both clocks is returned.
 */
export function measureElapsed(since: CurrentTime, time: CurrentTime): number {
  return Math.max(time.now - since.now, time.wallNow - since.wallNow);
}
