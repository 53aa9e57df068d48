import test from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { POLL_INTERVAL_MS } from "../../packages/scheduler/constants.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { OwnerSite } from "./owner_site.ts";

const SMALL_DEMAND = { milliCores: 1, memoryMb: 1, accelerators: 0 };
/** Listings after the first one that shows ends: four that show more, and an empty one. */
const FURTHER_LISTINGS = 5;

/** Runs tasks on one endpoint; returns the site once all have ended there. */
async function runSmallTasks(
  { tasks, runMs }: { tasks: number; runMs: number },
): Promise<OwnerSite> {
  const site = new OwnerSite(1, { entries: 1, endpoints: 1 });
  site.drawRunTime = () => runMs;
  site.drawEndKind = () => EndKind.Done;
  await site.time.advance(1_000);
  const step = makeStep({ tasks, demand: SMALL_DEMAND });
  site.entries[0].submit(makeJob("a", [step]), () => {});
  while (site.checker.done.size < tasks) await site.time.advance(10);
  return site;
}

// Guards against an endpoint with more ends than it lists at a time whose ends are never
// acknowledged, or one page for each interval between two polls.
test("2,400 ends are acknowledged page after page", async (t) => {
  const site = await runSmallTasks({ tasks: 2_400, runMs: 1_000 });
  const [fake] = site.endpoints.values();
  const endedAt = site.time.now;
  while (fake.unacknowledgedEnds.length === 2_400) await site.time.advance(1);
  const firstPageAt = site.time.now;
  t.true(firstPageAt - endedAt < 1_000);
  while (
    fake.unacknowledgedEnds.length > 0 && site.time.now < endedAt + 60_000
  ) {
    await site.time.advance(1);
  }
  t.log(`all pages after ${site.time.now - firstPageAt} ms`);
  t.true(site.time.now - firstPageAt < FURTHER_LISTINGS * POLL_INTERVAL_MS);
  t.deepEqual(site.checker.violations, []);
});

// Guards against ends that are never acknowledged, and tasks that run again, without any
// fault: the tasks ended before the first listing, and the starts of those whose ends it
// does not show counted as in doubt.
test("short tasks whose ends fill several listings run once", async (t) => {
  const site = await runSmallTasks({ tasks: 1_200, runMs: 20 });
  await site.time.advance(3_000);
  t.deepEqual(site.checker.violations, []);
  t.is(site.checker.starts, 1_200);
  const { role } = site.entries[0];
  t.is(role?.find("a", "norte")?.state, JobState.Completed);
});
