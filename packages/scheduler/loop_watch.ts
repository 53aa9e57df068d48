import type { Clock } from "../base/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { LOOP_CHECK_INTERVAL_MS } from "./constants.ts";
import { StallDetector } from "./loop_monitor.ts";

/** The dependencies of a `LoopWatch`. */
export interface LoopWatchParts {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Returns the processor time that the process has used, in milliseconds. */
  measureCpu: () => number;
}

/** Logs each stall of this process's event loop, on owners and other entries. */
export class LoopWatch {
  readonly #parts: LoopWatchParts;
  readonly #detector = new StallDetector();
  #cancelTick: () => void = () => {};

  constructor(parts: LoopWatchParts) {
    this.#parts = parts;
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    this.#cancelTick();
  }

  #tick(): void {
    const { clock, log, metrics, measureCpu } = this.#parts;
    const stall = this.#detector.noteTick({
      now: clock.now(),
      cpuMs: measureCpu(),
    });
    if (stall) {
      metrics.countEvent("loop_stalls");
      log.record(EventCode.LoopStalled, {
        stalledMs: Math.round(stall.stalledMs),
        cpuMs: Math.round(stall.cpuMs),
      });
    }
    this.#cancelTick = clock.schedule(
      () => this.#tick(),
      LOOP_CHECK_INTERVAL_MS,
    );
  }
}
