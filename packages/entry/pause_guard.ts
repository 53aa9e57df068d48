import { MAX_STALE_MS, MIN_PAUSE_MS } from "./constants.ts";

/**
 * Detects pauses of the process. After a pause, and after the start, the
 * configuration counts as stale until it is refreshed, and new work is refused:
 * a key that was revoked in the meantime must not be accepted. After the
 * start only a peer can refresh the configuration, because the store may have
 * been restored to an older state.
 */
export class PauseGuard {
  #lastTickAt: number;
  #staleSince: number | undefined;
  #isAwaitingPeer = true;

  constructor(now: number) {
    this.#lastTickAt = now;
    this.#staleSince = now;
  }

  /**
   * Records that the event loop runs. Returns the length of the pause since the
   * last tick, in milliseconds, or 0 if there was none.
   */
  tick(now: number): number {
    const gapMs = now - this.#lastTickAt;
    this.#lastTickAt = now;
    if (gapMs < MIN_PAUSE_MS) return 0;
    this.#staleSince = now;
    return gapMs;
  }

  /** Records that this entry has the configuration of a peer or a newer one. */
  notePeerConfig(): void {
    this.#staleSince = undefined;
    this.#isAwaitingPeer = false;
  }

  /** Records that the store was read. */
  noteStoreRead(): void {
    if (!this.#isAwaitingPeer) this.#staleSince = undefined;
  }

  /**
   * Returns whether the configuration is stale: during a pause, until the next
   * tick; then, as after the start, until it is refreshed, for at most
   * `MAX_STALE_MS`.
   */
  isStale(now: number): boolean {
    if (now - this.#lastTickAt >= MIN_PAUSE_MS) return true;
    if (this.#staleSince === undefined) return false;
    return now - this.#staleSince < MAX_STALE_MS;
  }
}
