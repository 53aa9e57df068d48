import { PAUSE_MS, PAUSE_REFRESH_MS } from "./constants.ts";

/**
 * Notices pauses of the process. After one, and after the start, no new work
 * is taken until the configuration was refreshed, so that a key withdrawn
 * meanwhile is refused. After the start only a peer can refresh it: the store
 * may have been restored to an older state.
 */
export class PauseGuard {
  #lastTick: number;
  #staleSince: number | undefined;
  #isStarting = true;

  constructor(now: number) {
    this.#lastTick = now;
    this.#staleSince = now;
  }

  /** Notes that the event loop runs; returns the pause before, in ms. */
  tick(now: number): number {
    const gap = now - this.#lastTick;
    this.#lastTick = now;
    if (gap < PAUSE_MS) return 0;
    this.#staleSince = now;
    return gap;
  }

  /** Notes that a peer told of its configuration. */
  notePeer(): void {
    this.#staleSince = undefined;
    this.#isStarting = false;
  }

  /** Notes that the store was read. */
  noteStore(): void {
    if (!this.#isStarting) this.#staleSince = undefined;
  }

  /** Tells whether the process was paused and has not been refreshed. */
  isStale(now: number): boolean {
    if (now - this.#lastTick >= PAUSE_MS) return true;
    if (this.#staleSince === undefined) return false;
    return now - this.#staleSince < PAUSE_REFRESH_MS;
  }
}
