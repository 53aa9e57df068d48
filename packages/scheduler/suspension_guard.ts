import type { CurrentTime } from "../cell/mod.ts";

/**
 * A wall clock that gains more than this on the steady clock between two checks
 * indicates a suspension, in milliseconds.
 */
const SUSPENSION_MS = 800;

/**
 * Detects that the VM was suspended: the wall clock advances during that time
 * and the steady clock does not. A wall clock that is set ahead looks the same.
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
