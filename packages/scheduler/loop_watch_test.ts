import test from "ava";
import { Clock } from "../base/mod.ts";
import { EventCode, EventLog } from "../events/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { LOOP_CHECK_INTERVAL_MS, MAX_LOOP_STALL_MS } from "./constants.ts";
import { LoopWatch } from "./loop_watch.ts";

/** Runs its only timer when told to, as late as told. */
class ManualClock extends Clock {
  #now = 0;
  #timer: { callback: () => void; delayMs: number } | undefined;

  override now(): number {
    return this.#now;
  }

  override schedule(callback: () => void, delayMs: number): () => void {
    this.#timer = { callback, delayMs };
    return () => this.#timer = undefined;
  }

  runTimer({ lateMs }: { lateMs: number }): void {
    const timer = this.#timer;
    if (!timer) return;
    this.#now += timer.delayMs + lateMs;
    timer.callback();
  }
}

class CollectingLog extends EventLog {
  readonly lines: [EventCode, Record<string, unknown>][] = [];

  override record(code: EventCode, fields: Record<string, unknown>): void {
    this.lines.push([code, fields]);
  }
}

// Guards against an owner that does nothing for seconds while its log cannot tell
// whether it computed or got no processor (soak seed 1041, issue 22).
test("a stall of the event loop is logged with the processor time used meanwhile", (t) => {
  const clock = new ManualClock();
  const log = new CollectingLog();
  let cpuMs = 70;
  const watch = new LoopWatch({
    clock,
    log,
    metrics: new Metrics(),
    measureCpu: () => cpuMs,
  });
  watch.start();
  clock.runTimer({ lateMs: MAX_LOOP_STALL_MS - LOOP_CHECK_INTERVAL_MS });
  t.deepEqual(log.lines, []);

  cpuMs += 3_400;
  clock.runTimer({ lateMs: 3_500 });
  const stalledMs = 3_500 + LOOP_CHECK_INTERVAL_MS;
  t.deepEqual(log.lines, [[EventCode.LoopStalled, {
    stalledMs,
    cpuMs: 3_400,
  }]]);

  cpuMs += 8;
  clock.runTimer({ lateMs: 5_000 });
  t.is(log.lines[1][1].cpuMs, 8);

  watch.stop();
  clock.runTimer({ lateMs: 5_000 });
  t.is(log.lines.length, 2);
});
