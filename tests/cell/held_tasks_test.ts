import test from "ava";
import { Admission } from "../../packages/cell/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import { RecordKind } from "../../packages/journal/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

/** What one step of ten tasks counts. */
const COUNTED = 14;

function makeSite(maxHeldTasks: number): CellSite {
  const site = new CellSite({ afterMs: 300 });
  site.maxHeldTasks = maxHeldTasks;
  site.replaceOwner();
  return site;
}

function makeWideJob(id: string, overrides = {}) {
  return makeJob(id, [makeStep({ tasks: 10 })], overrides);
}

// Guards against one job whose tasks take more memory than the owner has.
test("a job is refused while its tasks have no room, and accepted later", (t) => {
  const site = makeSite(COUNTED);
  site.submit(makeWideJob("a"));
  const { admission, reason } = site.cell.submit(makeWideJob("b"), site.time);
  t.is(admission, Admission.Refused);
  t.regex(reason, /14 of 14 are held/);
  site.advance(2_000);
  t.is(site.find("a"), JobState.Completed);
  t.is(site.cell.state.heldTasks, 0);
  site.submit(makeWideJob("b"));
  site.advance(2_000);
  t.is(site.find("b"), JobState.Completed);
});

test("the occurrences of a job count, and the refusal names the limit", (t) => {
  const site = makeSite(100);
  const job = makeWideJob("a", { occurrences: 8, intervalMs: 1_000 });
  const { admission, reason } = site.cell.submit(job, site.time);
  t.is(admission, Admission.Refused);
  t.regex(reason, /counts 112 tasks, and all jobs together may count 100/);
});

// Guards against a job that ends each owner that restores it.
test("a stored job without room stays pending, is logged once and starts later", (t) => {
  const site = makeSite(2 * COUNTED);
  const firstRunAt = site.now + 60_000;
  site.submit(makeWideJob("a", { occurrences: 1, firstRunAt }));
  site.submit(makeWideJob("b", { occurrences: 1, firstRunAt }));
  site.advance(100);
  site.maxHeldTasks = COUNTED;
  site.replaceOwner();
  t.is(site.cell.state.heldTasks, COUNTED);
  const deferrals = () =>
    site.cell.collectOutput().decisions.filter(({ kind }) =>
      kind === "job_deferred"
    ).map(({ subject }) => subject);
  site.cell.plan(site.time, { mayStart: true });
  t.deepEqual(deferrals(), ["b"]);
  site.cell.plan(site.time, { mayStart: true });
  t.deepEqual(deferrals(), []);
  t.is(site.find("b"), JobState.Pending);
  t.is(
    site.cell.submit(makeWideJob("b"), site.time).admission,
    Admission.Known,
  );
  site.takeSnapshot();
  site.replaceOwner();
  t.is(site.find("b"), JobState.Pending);
  site.cancel("a");
  site.advance(200);
  t.is(site.cell.state.heldTasks, COUNTED);
  t.is(site.cell.state.deferred.size, 0);
  t.deepEqual(site.checker.violations, []);
});

test("a stored job without room can be cancelled", (t) => {
  const site = makeSite(COUNTED);
  const firstRunAt = site.now + 60_000;
  site.submit(makeWideJob("a", { occurrences: 1, firstRunAt }));
  site.advance(100);
  site.maxHeldTasks = 1;
  site.replaceOwner();
  t.is(site.cell.state.deferred.size, 1);
  site.cancel("a");
  site.advance(200);
  t.is(site.find("a"), JobState.Cancelled);
  t.is(site.cell.state.deferred.size, 0);
  t.is(site.cell.state.heldTasks, 0);
  t.true(site.journal.some(({ kind }) => kind === RecordKind.Cancelled));
});

// Guards against a task that starts twice because its job was not restored.
test("a stored job whose tasks were placed is restored whatever the room", (t) => {
  for (const hasSnapshot of [false, true]) {
    const site = makeSite(COUNTED);
    site.submit(makeWideJob("a"));
    site.advance(100);
    if (hasSnapshot) site.takeSnapshot();
    site.maxHeldTasks = 1;
    site.replaceOwner();
    t.is(site.cell.state.deferred.size, 0);
    site.advance(3_000);
    t.is(site.find("a"), JobState.Completed);
    t.deepEqual(site.checker.violations, []);
  }
});
