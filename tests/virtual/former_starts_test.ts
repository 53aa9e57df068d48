import test from "ava";
import { StartResult } from "../../packages/cell/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { OwnerSite } from "./owner_site.ts";

/** The users' time from the end of all faults until no job waits, in ms. */
const FINISH_MS = 14_000;

// Guards against jobs that wait beyond the time in which they have to go on after a
// change of owner, for starts that a former owner can no longer send.
test("a task whose start was lost with its owner runs again in time, on a queue without tickets", async (t) => {
  const site = new OwnerSite(1, { entries: 2, endpoints: 2 });
  site.drawRunTime = () => 300;
  site.drawEndKind = () => EndKind.Done;
  await site.time.advance(2_500);
  const owner = site.entries.find(({ role }) => role?.isReady);
  if (!owner) return t.fail();
  owner.control.start = () =>
    Promise.resolve({ result: StartResult.Unknown, detail: "no answer" });
  owner.submit(makeJob("a", [makeStep()]), () => {});
  await site.time.advance(50);
  site.time.kill(owner.name);
  owner.role = undefined;
  // The lease of the killed owner ends after a second.
  await site.time.advance(1_500 + FINISH_MS);
  const next = site.entries.find(({ role }) => role?.isReady);
  t.is(next?.role?.find("a", "norte")?.state, JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});
