import type { Clock } from "../base/mod.ts";

/** Runs a step at intervals until it is stopped; steps never overlap. */
export class Loop {
  readonly #step: () => Promise<void> | void;
  readonly #intervalMs: () => number;
  readonly #onError: (error: unknown) => void;
  readonly #clock: Clock;
  #cancel: () => void = () => {};
  #stopped = true;
  #running = false;

  /**
   * `intervalMs` is called after each step; it returns the pause before the
   * next step in milliseconds.
   */
  constructor(
    clock: Clock,
    options: {
      step: () => Promise<void> | void;
      intervalMs: () => number;
      /** Called if a step fails; the loop continues. */
      onError: (error: unknown) => void;
    },
  ) {
    this.#clock = clock;
    this.#step = options.step;
    this.#intervalMs = options.intervalMs;
    this.#onError = options.onError;
  }

  /** Starts the loop and runs its first step at once. */
  start(): void {
    this.#stopped = false;
    void this.#run();
  }

  /** Runs the next step at once, unless a step is running. */
  runNow(): void {
    if (this.#stopped || this.#running) return;
    this.#cancel();
    void this.#run();
  }

  /** Stops the loop; a running step completes. */
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
