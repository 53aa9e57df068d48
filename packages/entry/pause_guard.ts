import { PAUSE_MS, PAUSE_REFRESH_MS } from "./constants.ts";

/**
 * Notices pauses of the process. After one, new work waits for a refresh of
 * the configuration, so that a key withdrawn meanwhile is not taken.
 */
export class PauseGuard {
  #lastTick: number;
  #staleSince: number | undefined;

  constructor(now: number) {
    this.#lastTick = now;
  }

  /** Notes that the event loop runs; returns the pause before, in ms. */
  tick(now: number): number {
    const gap = now - this.#lastTick;
    this.#lastTick = now;
    if (gap < PAUSE_MS) return 0;
    this.#staleSince = now;
    return gap;
  }

  /** Notes that the configuration was refreshed. */
  noteRefresh(): void {
    this.#staleSince = undefined;
  }

  /** Tells whether the process was paused and has not been refreshed. */
  isStale(now: number): boolean {
    if (now - this.#lastTick >= PAUSE_MS) return true;
    if (this.#staleSince === undefined) return false;
    return now - this.#staleSince < PAUSE_REFRESH_MS;
  }
}
