import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { estimateSuspicions } from "../../packages/cell/crash_background.ts";
import { describeTrials } from "../../packages/cell/mod.ts";
import { makeJob, makeQueue, makeStep } from "./cell_site.ts";
import { CrashSite, Return } from "./crash_site.ts";

/** Time until a crash is heard of and all suspects have been tried, in ms. */
const SETTLED_MS = 60_000;

const BULK = makeQueue({ name: "bulk", priority: 2 });

// Guards against a healthy job that is given up because its endpoints were cut off from
// the platform and from the owner, and missing from the list, but never crashed.
test("endpoints that are cut off and missing, three times: the job goes on", (t) => {
  const site = new CrashSite({ endpoints: 6, afterMs: 60_000 });
  site.advance(200);
  site.submit(makeJob("a", [makeStep()]));
  for (let cut = 1; cut <= 4; cut++) {
    for (let n = 0; n < 4_000 && site.checker.starts < cut; n++) {
      site.advance(10);
    }
    t.is(site.checker.starts, cut);
    const fake = site.findPlacement("a.0.0.0");
    site.advance(100);
    fake.isUnreachable = true;
    site.endpoints.delete(fake.id);
    site.applyEndpointList();
    site.advance(7_000);
    fake.isUnreachable = false;
    site.endpoints.set(fake.id, fake);
    site.applyEndpointList();
    site.advance(300);
    t.not(site.find("a"), JobState.Failed);
  }
});

// Guards against long-running neighbours that are given up for the crashes that a
// task beside them causes.
test("a bad task beside long-running neighbours: they are no suspects, and the second crash takes none of them", (t) => {
  const site = new CrashSite({ endpoints: 6, afterMs: 400 });
  site.isDeadly = (task) => task.startsWith("bad.");
  site.watchStarts();
  site.advance(300);
  const service = makeStep({ tasks: 12, longRunning: true });
  const { endRule } = site;
  site.endRule = (run, random) => ({
    ...endRule(run, random),
    ...run.task.startsWith("service.") ? { afterMs: 1e9 } : {},
  });
  site.submit(makeJob("service", [service]));
  site.advance(3_000);
  site.submit(makeJob("bad", [makeStep()], { queue: BULK }));
  site.advance(SETTLED_MS);
  t.is(site.find("bad"), JobState.Failed);
  t.is(site.find("service"), JobState.Running);
  t.true(site.countCrashes("bad.0.0.0") <= 3);
  const running = [...site.endpoints.values()].flatMap(({ runs }) => [
    ...runs.keys(),
  ]);
  t.is(running.filter((task) => task.startsWith("service.")).length, 12);
  t.deepEqual([...site.suspected], ["bad.0.0.0"]);
  const [, second] = site.crashes;
  t.deepEqual(second.lost, ["bad.0.0.0"]);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a class of bad tasks that takes down the endpoints of a service one
// after another, or many at once.
test("a class of bad tasks at once while a service runs: their suspects crash one endpoint at a time", (t) => {
  const site = new CrashSite({ endpoints: 16, afterMs: 400 });
  site.isDeadly = (task) => task.startsWith("bad");
  site.watchStarts();
  const { endRule } = site;
  site.endRule = (run, random) => ({
    ...endRule(run, random),
    ...run.task.startsWith("service.") ? { afterMs: 1e9 } : {},
  });
  site.advance(300);
  site.submit(makeJob("service", [makeStep({ tasks: 16, longRunning: true })]));
  site.advance(3_000);
  const bad = Array.from({ length: 8 }, (_, index) => `bad${index}`);
  for (const id of bad) {
    site.submit(makeJob(id, [makeStep()], { queue: BULK }));
    site.submit(makeJob(`good-${id}`, [makeStep({ tasks: 4 })]));
    site.advance(20);
  }
  const firstWaveEnd = site.now + 1_000;
  site.advance(2 * SETTLED_MS);
  for (const id of bad) {
    t.is(site.find(id), JobState.Failed);
    t.is(site.find(`good-${id}`), JobState.Completed);
    t.true(site.countCrashes(`${id}.0.0.0`) <= 3);
  }
  t.is(site.find("service"), JobState.Running);
  const retries = site.crashes.filter(({ at }) => at > firstWaveEnd);
  for (const [index, { at }] of retries.entries()) {
    if (index > 0) t.true(at - retries[index - 1].at >= site.backAfterMs);
  }
  t.deepEqual(site.checker.violations, []);
});

// Guards against a gang that is started without end for the crash of one member, and
// against crashes that count for members on other endpoints.
test("a gang with a bad member: at most three crashes, counted for the members that were there", (t) => {
  const site = new CrashSite({ endpoints: 12, afterMs: 30_000 });
  site.isDeadly = (task) => task === "gang.0.0.2";
  site.watchStarts();
  site.advance(300);
  const step = makeStep({
    tasks: 6,
    gang: true,
    demand: { milliCores: 3_000, memoryMb: 100, accelerators: 0 },
  });
  site.submit(makeJob("gang", [step], { queue: BULK }));
  site.advance(4_000);
  const { suspects } = site.cell.state;
  t.true(suspects.has("gang.0.0.2"));
  const [{ lost }] = site.crashes;
  t.deepEqual([...suspects.keys()].sort(), [...lost].sort());
  site.advance(SETTLED_MS);
  t.is(site.find("gang"), JobState.Failed);
  t.true(site.countCrashes("gang.0.0.2") <= 3);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a task that waits for a trial without a reason that operators can see.
test("the dump names a task that waits for its trial, and for how long at most", (t) => {
  const site = new CrashSite({ endpoints: 4, afterMs: 2_500 });
  site.advance(300);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(200);
  site.crash(site.findPlacement("a.0.0.0").id);
  t.deepEqual(describeTrials(site.cell.state, site.now), []);
  while (site.cell.state.suspects.size === 0) site.advance(10);
  const [suspect, ...others] = describeTrials(site.cell.state, site.now);
  t.like(suspect, { task: "a.0.0.0", trialsAtATime: 1, leftMs: 6_000 });
  t.is(others.length, 0);
});

// Guards against a suspect that is tried beside other work, which would be lost and
// suspected with it.
test("a suspect on probation: nothing else starts on its endpoint, and the run clears it", (t) => {
  const site = new CrashSite({ endpoints: 4, afterMs: 2_500 });
  site.watchStarts();
  site.advance(300);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(200);
  site.crash(site.findPlacement("a.0.0.0").id);
  site.advance(2_000);
  let jobs = 0;
  while (site.cell.state.suspects.size === 0) site.advance(10);
  while (site.cell.state.suspects.size > 0) {
    site.submit(makeJob(`b${jobs++}`, [makeStep()], { queue: BULK }));
    site.advance(100);
  }
  const starts = site.startedRuns.filter(({ task }) => task === "a.0.0.0");
  t.is(starts.length, 2);
  const [, trial] = starts;
  const beside = site.startedRuns.filter(({ endpoint, at }) =>
    endpoint === trial.endpoint && at > trial.at && at < trial.at + 1_000
  );
  t.deepEqual(beside, []);
  t.true(jobs > 0);
  site.advance(10_000);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against a count of crashes for a task whose endpoint was only cut off.
for (const cutMs of [2_000, 9_000]) {
  test(`an endpoint that is cut off for ${cutMs} ms right after starts: no crash counts`, (t) => {
    const site = new CrashSite({ endpoints: 4, afterMs: 1_500 });
    site.advance(300);
    site.submit(makeJob("a", [makeStep({ tasks: 4 })]));
    site.advance(60);
    const fake = site.findPlacement("a.0.0.0");
    fake.isUnreachable = true;
    site.advance(cutMs);
    fake.isUnreachable = false;
    site.advance(10_000);
    t.is(site.suspected.size, 0);
    t.is(site.find("a"), JobState.Completed);
  });
}

// Guards against a count of crashes for endpoints that leave as planned.
test("an endpoint that drains and leaves right after starts: no crash counts", (t) => {
  const site = new CrashSite({ endpoints: 4, afterMs: 5_000 });
  site.advance(300);
  site.submit(makeJob("a", [makeStep({ tasks: 2 })]));
  site.advance(60);
  const { id } = site.findPlacement("a.0.0.0");
  site.draining.add(id);
  site.applyEndpointList();
  site.crash(id);
  site.advance(SETTLED_MS);
  t.is(site.suspected.size, 0);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against a healthy job that is given up because a task of a job that was given up
// before crashed their endpoint (soak seed 635396).
test("a run of a job that was given up explains a crash: its neighbours are not blamed", (t) => {
  const site = new CrashSite({ endpoints: 6, afterMs: 400 });
  site.isDeadly = (task) => task.startsWith("bad");
  site.watchStarts();
  site.advance(300);
  site.submit(makeJob("bad", [makeStep()]));
  site.submit(makeJob("good", [makeStep({ longRunning: true })]));
  site.advance(SETTLED_MS);
  t.is(site.find("bad"), JobState.Failed);
  const suspicions = estimateSuspicions(
    site.cell.state,
    ["bad.0.0.0", "good.0.0.0"].map((task) => ({
      task,
      run: 9,
      isRightBefore: true,
    })),
  );
  t.is(suspicions.get("bad.0.0.0"), 1);
  t.true(suspicions.get("good.0.0.0")! < 0.001);
});

// Guards against an ejection of endpoints for what a task did to them.
test("endpoints that come back after a bad task crashed them are not ejected", (t) => {
  const site = new CrashSite({ endpoints: 3, afterMs: 400 });
  site.returnsAs = Return.SameId;
  site.isDeadly = (task) => task.startsWith("bad");
  site.watchStarts();
  site.advance(300);
  for (const id of ["bad0", "bad1", "bad2"]) {
    site.submit(makeJob(id, [makeStep()], { queue: BULK }));
  }
  site.advance(SETTLED_MS);
  for (const endpoint of site.cell.state.endpoints.values()) {
    t.is(endpoint.ejectedUntil, 0);
    t.is(endpoint.failuresInRow, 0);
  }
  t.deepEqual(
    ["bad0", "bad1", "bad2"].map((id) => site.find(id)),
    Array(3).fill(JobState.Failed),
  );
});

// Guards against suspects from the whole time since the last poll when the connection
// shows when the endpoint crashed.
for (const isBroken of [true, false]) {
  test(`a crash between two polls, the connection broke at once: ${isBroken}: only a break tells the earlier start from the later one`, (t) => {
    const site = new CrashSite({ endpoints: 1, afterMs: 5_000 });
    site.advance(300);
    site.pollIntervalMs = 4_000;
    site.submit(makeJob("early", [makeStep()]));
    site.advance(900);
    site.submit(makeJob("late", [makeStep()]));
    site.advance(30);
    const [endpoint] = site.cell.state.endpoints.values();
    site.crash(endpoint.info.id);
    if (isBroken) {
      site.cell.noteContactLost(endpoint, { now: site.now, isBroken });
    }
    site.advance(4_000);
    const expected = isBroken ? ["late.0.0.0"] : ["early.0.0.0", "late.0.0.0"];
    t.deepEqual([...site.suspected], expected);
  });
}
