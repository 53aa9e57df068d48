import test from "ava";
import { RecordKind } from "../../packages/journal/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeQueue, makeStep } from "./cell_site.ts";
import { CrashSite, makeBadSite, Return } from "./crash_site.ts";

const RETURNS = [Return.SameId, Return.NewId];

/** Times of the take-over after a crash: before and after the owner hears of it. */
const TAKE_OVERS_MS = [100, 2_900, 3_300];

for (const returnsAs of RETURNS) {
  for (const afterMs of TAKE_OVERS_MS) {
    for (const isCompacted of [false, true]) {
      // Guards against a count of crashes that is lost, or made twice, when another
      // owner takes over (BUDGET).
      test(`one bad task, a take-over ${afterMs} ms after each crash, compacted: ${isCompacted}, back as ${returnsAs}: at most three crashes`, (t) => {
        const site = makeBadSite({ returnsAs });
        let seen = 0;
        for (let n = 0; n < 6_000; n++) {
          site.advance(10);
          const last = site.crashes.at(-1);
          if (!last || site.crashes.length === seen) continue;
          if (site.now < last.at + afterMs) continue;
          seen = site.crashes.length;
          if (isCompacted) site.takeSnapshot();
          site.replaceOwner();
        }
        t.is(site.find("bad"), JobState.Failed);
        t.true(site.countCrashes("bad.0.0.0") >= 2);
        t.true(site.countCrashes("bad.0.0.0") <= 3);
        t.deepEqual(site.checker.violations, []);
      });
    }
  }
}

// Guards against a crash that counts again when its record is replayed, or when the
// endpoint is heard of twice.
test("a crash that is heard of twice and replayed twice counts once", (t) => {
  const site = makeBadSite({ returnsAs: Return.NewId });
  while (site.cell.state.suspects.size === 0) site.advance(10);
  for (const endpoint of site.cell.state.endpoints.values()) {
    const isCrashed = site.crashes.some((crash) =>
      crash.endpoint === endpoint.info.id
    );
    if (isCrashed) site.cell.noteReplacement(endpoint, site.time);
  }
  site.advance(100);
  const crashed = site.journal.filter(({ kind }) =>
    kind === RecordKind.Crashed
  );
  t.is(crashed.length, 1);
  site.journal.push(...crashed, ...crashed);
  site.replaceOwner();
  const ref = site.cell.state.suspects.get("bad.0.0.0");
  t.is(ref?.task.crashes.counted.length, 1);
});

// Guards against a cleared count that returns with the journal.
test("a count that a run cleared stays cleared after a take-over, compacted or not", (t) => {
  for (const isCompacted of [false, true]) {
    const site = new CrashSite({ endpoints: 4, afterMs: 30_000 });
    site.watchStarts();
    site.advance(300);
    site.submit(makeJob("a", [makeStep()]));
    site.advance(200);
    site.crash(site.findPlacement("a.0.0.0").id);
    while (site.cell.state.suspects.size === 0) site.advance(10);
    while (site.cell.state.suspects.size > 0) site.advance(10);
    site.advance(100);
    if (isCompacted) site.takeSnapshot();
    const [crashed] = site.journal.filter(({ kind }) =>
      kind === RecordKind.Crashed
    );
    if (crashed) site.journal.push(crashed);
    site.replaceOwner();
    site.advance(200);
    t.is(site.cell.state.suspects.size, 0);
  }
});

// Guards against long-running tasks that count as suspects at a take-over because the
// new owner does not know when they were started.
test("endpoints that crash around a take-over: long-running tasks are no suspects", (t) => {
  const site = new CrashSite({ endpoints: 6, afterMs: 1e9 });
  site.advance(300);
  const service = makeStep({ tasks: 24, longRunning: true });
  site.submit(
    makeJob("service", [service], { queue: makeQueue({ name: "services" }) }),
  );
  site.advance(20_000);
  for (let n = 0; n < 4; n++) {
    const id = [...site.endpoints.keys()][0];
    site.crash(id);
    site.advance(n * 900);
    site.replaceOwner();
    t.is(site.cell.state.suspects.size, 0);
    site.advance(20_000);
    t.is(site.cell.state.suspects.size, 0);
  }
  t.is(site.find("service"), JobState.Running);
  t.deepEqual(site.checker.violations, []);
});
