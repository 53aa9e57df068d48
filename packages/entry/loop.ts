/** Repeats a step on the event loop until it is stopped. */
export class Loop {
  readonly #step: () => Promise<void> | void;
  readonly #intervalMs: () => number;
  #timer: NodeJS.Timeout | undefined;
  #stopped = true;
  #running = false;

  /** `intervalMs` is asked after each step. */
  constructor(
    step: () => Promise<void> | void,
    intervalMs: () => number,
  ) {
    this.#step = step;
    this.#intervalMs = intervalMs;
  }

  /** Starts with a step at once. */
  start(): void {
    this.#stopped = false;
    void this.#run();
  }

  /** Runs the next step at once unless one is under way. */
  wake(): void {
    if (this.#stopped || this.#running) return;
    clearTimeout(this.#timer);
    void this.#run();
  }

  /** Takes no further step. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  async #run(): Promise<void> {
    this.#running = true;
    try {
      await this.#step();
    } finally {
      this.#running = false;
      if (!this.#stopped) this.#schedule();
    }
  }

  #schedule(): void {
    this.#timer = setTimeout(() => void this.#run(), this.#intervalMs());
  }
}
