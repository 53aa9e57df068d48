import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { OwnerSite } from "./owner_site.ts";

// Guards against an owner that reads the time of day past its clock: a replayed
// scenario would depend on the moment at which it is replayed.
test("occurrences of a job start by the wall time of the owner's clock", async (t) => {
  const site = new OwnerSite(3, { entries: 1, endpoints: 1 });
  site.drawRunTime = () => 100;
  const [entry] = site.entries;
  await site.time.advance(1_000);
  const schedule = {
    occurrences: 2,
    firstRunAt: site.time.now + 500,
    intervalMs: 1_000,
  };
  entry.submit(makeJob("a", [makeStep()], schedule), () => {});
  await site.time.advance(400);
  t.is(site.checker.starts, 0);
  await site.time.advance(600);
  t.is(site.checker.starts, 1);
  await site.time.advance(1_000);
  t.is(site.checker.starts, 2);
  t.is(entry.role?.find("a", "norte")?.state, JobState.Completed);
});
