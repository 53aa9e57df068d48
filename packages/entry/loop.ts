import type { Clock } from "../base/mod.ts";

/** Repeats a step on the event loop until it is stopped. */
export class Loop {
  readonly #step: () => Promise<void> | void;
  readonly #intervalMs: () => number;
  readonly #onError: (error: unknown) => void;
  readonly #clock: Clock;
  #cancel: () => void = () => {};
  #stopped = true;
  #running = false;

  /** `intervalMs` is asked after each step. */
  constructor(
    clock: Clock,
    options: {
      step: () => Promise<void> | void;
      intervalMs: () => number;
      /** Called when a step fails; the loop goes on. */
      onError: (error: unknown) => void;
    },
  ) {
    this.#clock = clock;
    this.#step = options.step;
    this.#intervalMs = options.intervalMs;
    this.#onError = options.onError;
  }

  /** Starts with a step at once. */
  start(): void {
    this.#stopped = false;
    void this.#run();
  }

  /** Runs the next step at once unless one is under way. */
  runNow(): void {
    if (this.#stopped || this.#running) return;
    this.#cancel();
    void this.#run();
  }

  /** Takes no further step. */
  stop(): void {
    this.#stopped = true;
    this.#cancel();
  }

  async #run(): Promise<void> {
    this.#running = true;
    try {
      await this.#step();
    } catch (error) {
      this.#onError(error);
    } finally {
      this.#running = false;
      if (!this.#stopped) this.#schedule();
    }
  }

  #schedule(): void {
    this.#cancel = this.#clock.schedule(
      () => void this.#run(),
      this.#intervalMs(),
    );
  }
}
