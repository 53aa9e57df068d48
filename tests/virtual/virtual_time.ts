import TinyQueue from "tinyqueue";
import { Clock } from "../../packages/base/mod.ts";

interface Timer {
  at: number;
  /** When it would have run if its process had not been busy. */
  dueAt: number;
  sequence: number;
  processId: string;
  run: () => void;
  cancelled: boolean;
}

/**
 * Runs the timers of several simulated processes in the order of one virtual
 * clock. Timers that are due at the same time run in the order of scheduling.
 */
export class VirtualTime {
  /** Virtual time, in milliseconds since the Unix epoch. */
  now = 1_800_000_000_000;
  #sequence = 0;
  readonly #queue = new TinyQueue<Timer>(
    [],
    (a, b) => a.at - b.at || a.dueAt - b.dueAt || a.sequence - b.sequence,
  );
  /** Timers that came due while their process was frozen, by process id. */
  readonly #frozen = new Map<string, Timer[]>();
  readonly #killed = new Set<string>();
  /** Until when the processor of a process is busy, by process id. */
  readonly #busyUntil = new Map<string, number>();
  /** Time for which a process's VM was suspended, in ms, by process id. */
  readonly #suspendedMs = new Map<string, number>();
  /** Time by which a process's wall clock is ahead, in ms, by process id. */
  readonly wallAheadMs = new Map<string, number>();

  /** Schedules a function in a process; returns a function that cancels it. */
  schedule(processId: string, delayMs: number, run: () => void): () => void {
    const at = this.getProcessTime(processId) + Math.max(0, delayMs);
    const timer: Timer = {
      at,
      dueAt: at,
      sequence: this.#sequence++,
      processId,
      run,
      cancelled: false,
    };
    this.#queue.push(timer);
    return () => timer.cancelled = true;
  }

  /** Charges a process for work: until it is done, none of its timers run. */
  chargeWork(processId: string, ms: number): void {
    this.#busyUntil.set(processId, this.getProcessTime(processId) + ms);
  }

  /** Returns the time at which a process has done the work it was charged for. */
  getProcessTime(processId: string): number {
    return Math.max(this.now, this.#busyUntil.get(processId) ?? 0);
  }

  /** Tells whether a process was killed. */
  isKilled(processId: string): boolean {
    return this.#killed.has(processId);
  }

  /** Tells whether a process is frozen. */
  isFrozen(processId: string): boolean {
    return this.#frozen.has(processId);
  }

  /** Kills a process: none of its timers run any more. */
  kill(processId: string): void {
    this.#killed.add(processId);
    this.#frozen.delete(processId);
  }

  /** Suspends a process: its timers wait until it is thawed. */
  freeze(processId: string): void {
    if (!this.#frozen.has(processId)) this.#frozen.set(processId, []);
  }

  /** Resumes a frozen process; timers that came due meanwhile run now. */
  thaw(processId: string): void {
    const deferred = this.#frozen.get(processId) ?? [];
    this.#frozen.delete(processId);
    for (const timer of deferred) {
      timer.at = this.now;
      this.#queue.push(timer);
    }
  }

  /**
   * Suspends the VM of a process for `ms`: its steady clock stands still, the
   * wall clock goes on, and what arrives meanwhile is read afterwards.
   */
  async suspend(processId: string, ms: number): Promise<void> {
    this.freeze(processId);
    await this.advance(ms);
    this.#suspendedMs.set(processId, this.getSuspendedTime(processId) + ms);
    this.thaw(processId);
  }

  /** Returns for how long a process's VM was suspended, in milliseconds. */
  getSuspendedTime(processId: string): number {
    return this.#suspendedMs.get(processId) ?? 0;
  }

  /** Advances the clock by `ms` and runs all timers that come due. */
  async advance(ms: number): Promise<void> {
    const endsAt = this.now + ms;
    await waitForMicrotasks();
    for (;;) {
      const timer = this.#queue.peek();
      if (!timer || timer.at > endsAt) break;
      this.#queue.pop();
      if (timer.cancelled || this.#killed.has(timer.processId)) continue;
      const deferred = this.#frozen.get(timer.processId);
      if (deferred) {
        deferred.push(timer);
        continue;
      }
      const freeAt = this.#busyUntil.get(timer.processId) ?? 0;
      if (freeAt > timer.at && freeAt > this.now) {
        timer.at = freeAt;
        this.#queue.push(timer);
        continue;
      }
      this.now = Math.max(this.now, timer.at);
      timer.run();
      await waitForMicrotasks();
    }
    this.now = endsAt;
  }
}

/** Clock of one simulated process. */
export class ProcessClock extends Clock {
  readonly #time: VirtualTime;
  readonly #processId: string;

  constructor(time: VirtualTime, processId: string) {
    super();
    this.#time = time;
    this.#processId = processId;
  }

  /** Returns the time of the site, whatever this process's clocks show. */
  readSiteTime(): number {
    return this.#time.now;
  }

  override now(): number {
    return this.#time.getProcessTime(this.#processId) -
      this.#time.getSuspendedTime(this.#processId);
  }

  override readWallTime(): number {
    return this.#time.getProcessTime(this.#processId) +
      (this.#time.wallAheadMs.get(this.#processId) ?? 0);
  }

  override schedule(run: () => void, delayMs: number): () => void {
    return this.#time.schedule(this.#processId, delayMs, run);
  }
}

/** Waits until pending promise callbacks have run. */
function waitForMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
