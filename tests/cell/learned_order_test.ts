import test from "ava";
import { OrderName } from "../../packages/cell/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  getJobId,
  makeJob,
  makeQueue,
  makeStep,
} from "./cell_site.ts";
import { FakeRunTimes } from "./fake_run_times.ts";

const WHOLE = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };

/** One endpoint, which runs one job at a time, and run times that exceed the estimates. */
function openCell(order: OrderName, error: number): CellSite {
  const site = new CellSite({ endpoints: 1, policies: { order } });
  const runTimes = new FakeRunTimes();
  runTimes.error = error;
  site.cell.state.runTimes = runTimes;
  site.endRule = ({ task }) => ({
    afterMs: getJobId(task) === "doomed" ? 2_000 : 400,
    endKind: EndKind.Done,
  });
  site.pollIntervalMs = 20;
  site.advance(300);
  return site;
}

/** Submits a job that can't be in time and one that can, with a later deadline. */
function submitBacklog(site: CellSite): void {
  const queue = makeQueue({ stretch: 1, targetLatencyMs: 300 });
  const doomed = makeStep({ estimateMs: 700, demand: WHOLE });
  const short = makeStep({ estimateMs: 150, demand: WHOLE });
  site.submit(makeJob("first", [short], { queue: { ...queue, priority: 0 } }));
  site.submit(makeJob("doomed", [doomed], { queue }));
  const hopeful = { ...queue, targetLatencyMs: 1_500 };
  site.submit(makeJob("hopeful", [short], { queue: hopeful }));
}

// Load: a backlog in which the work with the earliest deadline can no longer meet it.
test("learned order: work that can still be in time goes before work that can't", (t) => {
  const finished = (order: OrderName) => {
    const site = openCell(order, 2);
    submitBacklog(site);
    site.advance(1_200);
    return site.find("hopeful") === JobState.Completed;
  };
  t.true(finished(OrderName.Learned));
  t.false(finished(OrderName.Due));
});

// Guards against work that starves because a wrong model calls it late.
for (const error of [0.1, 10, Number.NaN]) {
  test(`learned order, predictions wrong by a factor of ${error}: every job completes`, (t) => {
    const site = openCell(OrderName.Learned, error);
    submitBacklog(site);
    site.advance(10_000);
    for (const id of ["first", "doomed", "hopeful"]) {
      t.is(site.find(id), JobState.Completed, id);
    }
    t.deepEqual(site.checker.violations, []);
  });
}
