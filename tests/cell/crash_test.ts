import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeQueue, makeStep } from "./cell_site.ts";
import { CrashSite, makeBadSite, Return } from "./crash_site.ts";

for (const returnsAs of Object.values(Return)) {
  // Guards against a task that crashes each endpoint that starts it and is started
  // without end, as no crash counts (BUDGET).
  test(`one bad task crashes at most three endpoints and its job fails; they come back: ${returnsAs}`, (t) => {
    const site = makeBadSite({ returnsAs });
    site.advance(60_000);
    t.is(site.find("bad"), JobState.Failed);
    t.true(site.countCrashes("bad.0.0.0") <= 3);
    t.deepEqual(site.checker.violations, []);
  });
}

// Guards against crashes that count only if the endpoint is back before its leases have
// expired.
for (const backAfterMs of [1_000, 5_500, 8_000]) {
  for (const returnsAs of [Return.SameId, Return.NewId]) {
    test(`one bad task, endpoints are back after ${backAfterMs} ms as ${returnsAs}: at most three crashes`, (t) => {
      const site = makeBadSite({ returnsAs, backAfterMs });
      site.advance(60_000);
      t.is(site.find("bad"), JobState.Failed);
      t.true(site.countCrashes("bad.0.0.0") <= 3);
      t.deepEqual(site.checker.violations, []);
    });
  }
}

// Guards against tasks of queues with tickets and of occurrences that are not counted.
test("bad tasks with tickets, in occurrences and with checkpoints: at most three crashes each", (t) => {
  const site = new CrashSite({ endpoints: 12, afterMs: 400 });
  site.isDeadly = (task) => task.startsWith("bad");
  site.watchStarts();
  site.advance(300);
  const advice = { decideMs: 20, perEndpointMs: 1, validMs: 1_500 };
  const queue = makeQueue({ name: "advised", advice });
  site.submit(makeJob("bad0", [makeStep()], { queue }));
  site.submit(makeJob("bad1", [makeStep({ checkpointing: true })]));
  const times = { occurrences: 3, firstRunAt: site.now, intervalMs: 2_000 };
  site.submit(makeJob("bad2", [makeStep()], times));
  site.submit(makeJob("bad3", [makeStep({ longRunning: true })]));
  site.advance(120_000);
  const tasks = new Set(site.crashes.map(({ task }) => task));
  for (const id of ["bad0", "bad1", "bad2", "bad3"]) {
    t.is(site.find(id), JobState.Failed);
    t.true([...tasks].some((task) => task.startsWith(`${id}.`)));
  }
  for (const task of tasks) t.true(site.countCrashes(task) <= 3);
  t.deepEqual(site.checker.violations, []);
});
