import test from "ava";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
} from "../../tests/cell/cell_site.ts";
import type { Cell } from "./cell.ts";
import { Admission } from "./types.ts";

const queue = makeQueue({ priority: 0, stretch: 1.5, targetLatencyMs: 250 });

function submit(site: CellSite, id: string, organisation: string): Admission {
  const cell: Cell = site.cell;
  const job = makeJob(id, [makeStep({ estimateMs: 600 })], {
    organisation,
    queue,
  });
  site.checker.recordJob(job);
  return cell.submit(job, site.time).admission;
}

test("overload by a burst: jobs that would be too late are refused", (t) => {
  // Jobs of 600 ms on 32 cores: 53 jobs end per second, so that the last of 400
  // jobs would wait 7.5 s.
  const site = new CellSite({ afterMs: 600 });
  site.advance(300);
  const accepted = Array.from(
    { length: 400 },
    (_, index) => submit(site, `j${index}`, "norte"),
  ).filter((admission) => admission === Admission.Accepted);
  t.true(accepted.length > 100 && accepted.length < 250);
  site.advance(6_000);
  t.is(site.checker.done.size, accepted.length);
});

test("a burst of one organisation does not make other jobs late", (t) => {
  const site = new CellSite({ afterMs: 600 });
  const cap = { milliCores: 0, memoryMb: 0, accelerators: 0 };
  site.cell.updateOrganisations([
    { name: "flood", weight: 10, cap },
    { name: "calm", weight: 10, cap },
  ]);
  site.advance(300);
  let refusedCount = 0;
  for (let tick = 0; tick < 300; tick++) {
    for (let job = 0; job < 4; job++) submit(site, `f${tick}x${job}`, "flood");
    if (
      tick % 10 === 0 && submit(site, `c${tick}`, "calm") !== Admission.Accepted
    ) {
      refusedCount++;
    }
    site.advance(10);
  }
  t.is(refusedCount, 0);
  site.advance(1_300);
  for (let tick = 0; tick < 300; tick += 10) {
    t.true(site.checker.done.has(`c${tick}.0.0.0`));
  }
});

test("a refused job gets a retry delay", (t) => {
  const site = new CellSite({ afterMs: 600 });
  site.advance(300);
  for (let index = 0; index < 400; index++) submit(site, `j${index}`, "norte");
  const job = makeJob("late", [makeStep({ estimateMs: 600 })], { queue });
  const outcome = site.cell.submit(job, site.time);
  t.is(outcome.admission, Admission.Refused);
  t.true((outcome.retryAfterMs ?? 0) >= 1_000);
  t.is(site.find("late"), undefined);
});

test("a job with a step that fits no endpoint is refused at once", (t) => {
  const site = new CellSite();
  site.advance(300);
  const huge = { milliCores: 64_000, memoryMb: 1, accelerators: 0 };
  const steps = [makeStep(), makeStep({ demand: huge, after: [0] })];
  const outcome = site.cell.submit(makeJob("huge", steps), site.time);
  t.is(outcome.admission, Admission.Refused);
  t.regex(outcome.reason, /step 1/);
});

test("no job is refused as impossible before endpoints are listed", (t) => {
  const site = new CellSite({ endpoints: 0 });
  const outcome = site.cell.submit(makeJob("a", [makeStep()]), site.time);
  t.is(outcome.admission, Admission.Accepted);
});
