import test from "ava";
import { Admission, AdmissionName } from "../../packages/cell/mod.ts";
import { CellSite, makeJob, makeQueue, makeStep } from "./cell_site.ts";
import { FakeRunTimes } from "./fake_run_times.ts";

/** Objective of a job of 5 s: 12 s; its result has value for 36 s. */
const bulk = makeQueue({ name: "bulk", stretch: 2.2, targetLatencyMs: 1_000 });
const sweep = makeQueue({ name: "sweep", priority: 2, stretch: 4 });

/** Submits a gang that needs the room of runs of this length; returns the answer. */
function submitBehindRuns(runMs: number, error: number): Admission {
  const site = new CellSite({
    afterMs: runMs,
    policies: { admission: AdmissionName.Room },
  });
  site.advance(300);
  const runTimes = new FakeRunTimes();
  runTimes.error = error;
  site.cell.state.runTimes = runTimes;
  const runs = makeStep({ tasks: 32, estimateMs: runMs });
  site.submit(makeJob("runs", [runs], { queue: sweep }));
  site.advance(200);
  const gang = makeStep({ tasks: 30, gang: true, estimateMs: 5_000 });
  const job = makeJob("gang", [gang], { queue: bulk });
  return site.cell.submit(job, site.time).admission;
}

// Guards against a prediction that is no finite number: running work would count as free
// room or never end, and waiting work as endless, so that all gangs are refused.
test("without a usable prediction, the callers' estimates decide about room", (t) => {
  for (const error of [Number.NaN, Number.POSITIVE_INFINITY]) {
    t.is(submitBehindRuns(10_000, error), Admission.Accepted);
    t.is(submitBehindRuns(60_000, error), Admission.Refused);
  }
});
