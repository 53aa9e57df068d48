import test from "ava";
import { EndKind } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";

const shortQueue = makeQueue({
  priority: 0,
  stretch: 1.5,
  targetLatencyMs: 250,
});
const longQueue = makeQueue({
  priority: 2,
  stretch: 4,
  targetLatencyMs: 3_000,
});

test("late short jobs are scheduled before long jobs that are in time", (t) => {
  // Regression: late short jobs came after all jobs in time and waited 10 s.
  const site = new CellSite({ endpoints: 1, afterMs: 600 });
  const step = makeStep({ estimateMs: 600 });
  site.advance(300);
  for (let n = 0; n < 18; n++) {
    site.submit(makeJob(`s${n}`, [step], { queue: shortQueue }));
  }
  for (let n = 0; n < 60; n++) {
    const tasks = makeStep({ tasks: 4, estimateMs: 3_000 });
    site.submit(makeJob(`l${n}`, [tasks], { queue: longQueue }));
  }
  // On 8 cores the short jobs run in three rounds. The third round misses the
  // latency objective of 1,150 ms, but its results have not lost their value.
  site.advance(2_600);
  for (let n = 0; n < 18; n++) {
    t.true(site.checker.done.has(`s${n}.0.0.0`), `s${n}`);
  }
});

test("a job whose result has lost its value is scheduled last", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: 600 });
  const step = makeStep({ estimateMs: 600 });
  site.advance(300);
  const [endpoint] = site.endpoints.values();
  endpoint.isUnreachable = true;
  const queue = { ...shortQueue, advice: TICKETS };
  site.submit(makeJob("old", [step], { queue }));
  site.advance(4_000);
  endpoint.isUnreachable = false;
  for (let n = 0; n < 8; n++) {
    site.submit(makeJob(`new${n}`, [step], { queue }));
  }
  site.advance(900);
  for (let n = 0; n < 8; n++) t.true(site.checker.done.has(`new${n}.0.0.0`));
});

test("a start is not sent if its ticket expired during the commit", (t) => {
  const site = new CellSite({ endpoints: 2 });
  site.advance(300);
  const queue = makeQueue({ advice: TICKETS });
  site.submit(makeJob("a", [makeStep()], { queue }));
  site.advance(10);
  site.commitMs = 2_000;
  site.advance(2_100);
  t.is(site.checker.starts, 0);
  site.commitMs = 20;
  site.advance(3_000);
  t.is(site.checker.starts, 1);
});

test("a task that failed once is retried at once elsewhere", (t) => {
  const site = new CellSite({ endpoints: 2 });
  site.endRule = (run) => ({
    afterMs: 300,
    endKind: run.run === 1 ? EndKind.Failed : EndKind.Done,
  });
  site.pollIntervalMs = 20;
  site.advance(300);
  site.submit(makeJob("a", [makeStep()], { queue: shortQueue }));
  site.advance(730);
  t.true(site.checker.done.has("a.0.0.0"));
  t.is(site.checker.startsOn.size, 2);
});
