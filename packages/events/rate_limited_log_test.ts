import test from "ava";
import { Clock } from "../base/mod.ts";
import {
  EventCode,
  type EventFields,
  EventLog,
  MAX_LINES_PER_SECOND,
  RateLimitedEventLog,
} from "./mod.ts";

class ManualClock extends Clock {
  time = 10_000;
  override now(): number {
    return this.time;
  }
  override schedule(): () => void {
    return () => {};
  }
}

class CollectingLog extends EventLog {
  readonly lines: [EventCode, EventFields][] = [];
  override record(code: EventCode, fields: EventFields = {}): void {
    this.lines.push([code, fields]);
  }
}

test("limits each event code separately and counts dropped lines", (t) => {
  const clock = new ManualClock();
  const target = new CollectingLog();
  const log = new RateLimitedEventLog(target, clock);
  for (let index = 0; index < MAX_LINES_PER_SECOND + 25; index++) {
    log.record(EventCode.TaskStarted, { index });
  }
  log.record(EventCode.OwnershipBegan);
  t.is(target.lines.length, MAX_LINES_PER_SECOND + 1);
  clock.time += 1_000;
  log.record(EventCode.TaskStarted);
  const dropReport = target.lines.find(([code]) =>
    code === EventCode.LinesDropped
  );
  t.deepEqual(dropReport?.[1].counts, { [EventCode.TaskStarted]: 25 });
});
