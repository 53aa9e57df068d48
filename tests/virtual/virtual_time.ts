import TinyQueue from "tinyqueue";
import { Clock } from "../../packages/base/mod.ts";

interface Timer {
  at: number;
  sequence: number;
  lane: string;
  run: () => void;
  cancelled: boolean;
}

/** Runs the timers of several processes in the order of one virtual clock. */
export class VirtualTime {
  now = 1_800_000_000_000;
  #sequence = 0;
  readonly #queue = new TinyQueue<Timer>(
    [],
    (a, b) => a.at - b.at || a.sequence - b.sequence,
  );
  readonly #frozen = new Map<string, Timer[]>();
  readonly #dead = new Set<string>();

  /** Schedules a function on the lane of one process. */
  schedule(lane: string, delayMs: number, run: () => void): () => void {
    const at = this.now + Math.max(0, delayMs);
    const timer: Timer = {
      at,
      sequence: this.#sequence++,
      lane,
      run,
      cancelled: false,
    };
    this.#queue.push(timer);
    return () => timer.cancelled = true;
  }

  /** Tells whether a process has ended. */
  isDead(lane: string): boolean {
    return this.#dead.has(lane);
  }

  /** Tells whether a process is frozen. */
  isFrozen(lane: string): boolean {
    return this.#frozen.has(lane);
  }

  /** Ends a process: nothing of it runs any more. */
  kill(lane: string): void {
    this.#dead.add(lane);
    this.#frozen.delete(lane);
  }

  /** Stops a process until it is thawed. */
  freeze(lane: string): void {
    if (!this.#frozen.has(lane)) this.#frozen.set(lane, []);
  }

  /** Lets a frozen process go on with all that has come due. */
  thaw(lane: string): void {
    const held = this.#frozen.get(lane) ?? [];
    this.#frozen.delete(lane);
    for (const timer of held) {
      timer.at = this.now;
      this.#queue.push(timer);
    }
  }

  /** Runs all timers that come due within some milliseconds. */
  async advance(ms: number): Promise<void> {
    const until = this.now + ms;
    await drainMicrotasks();
    for (;;) {
      const timer = this.#queue.peek();
      if (!timer || timer.at > until) break;
      this.#queue.pop();
      if (timer.cancelled || this.#dead.has(timer.lane)) continue;
      const held = this.#frozen.get(timer.lane);
      if (held) {
        held.push(timer);
        continue;
      }
      this.now = Math.max(this.now, timer.at);
      timer.run();
      await drainMicrotasks();
    }
    this.now = until;
  }
}

/** The clock of one process. */
export class LaneClock extends Clock {
  readonly #time: VirtualTime;
  readonly #lane: string;

  constructor(time: VirtualTime, lane: string) {
    super();
    this.#time = time;
    this.#lane = lane;
  }

  override now(): number {
    return this.#time.now;
  }

  override schedule(run: () => void, delayMs: number): () => void {
    return this.#time.schedule(this.#lane, delayMs, run);
  }
}

function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
