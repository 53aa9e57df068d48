import type { Clock } from "../base/mod.ts";
import { PARSE_TURN_MS } from "./constants.ts";

/** A connection that has more to parse than one slice. */
export interface Parseable {
  /** Parses one slice; returns whether there is more that may be parsed now. */
  forwardSlice(): boolean;
}

/**
 * Shares the time of the event loop between connections that send more than an ordinary
 * request: one slice each in turn, for `PARSE_TURN_MS`, then the loop goes on.
 */
export class ParseTurns {
  readonly #clock: Clock;
  readonly #waiting = new Set<Parseable>();
  #isScheduled = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** True while no connection waits for its turn. */
  get isIdle(): boolean {
    return this.#waiting.size === 0;
  }

  /** Lets a connection parse a slice in one of the next turns. */
  enqueue(connection: Parseable): void {
    this.#waiting.add(connection);
    this.#schedule();
  }

  /** Forgets a connection. */
  remove(connection: Parseable): void {
    this.#waiting.delete(connection);
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#runTurn());
  }

  #runTurn(): void {
    this.#isScheduled = false;
    const endsAt = this.#clock.now() + PARSE_TURN_MS;
    const again: Parseable[] = [];
    for (const connection of this.#waiting) {
      this.#waiting.delete(connection);
      if (connection.forwardSlice()) again.push(connection);
      if (this.#clock.now() >= endsAt) break;
    }
    for (const connection of again) this.#waiting.add(connection);
    if (this.#waiting.size > 0) this.#schedule();
  }
}
