import test, { type ExecutionContext } from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeQueue, makeStep } from "../cell/cell_site.ts";
import { CrashRecord } from "./crash_record.ts";
import { type HostileOptions, HostileScenario } from "./hostile_scenario.ts";
import {
  assessScenario,
  type HostileVerdict,
  mayHaveFailed,
} from "./hostile_verdict.ts";
import { Return } from "./hostile_site.ts";

/** First seed and number of seeds; the variables are for runs by hand. */
const FIRST_SEED = Number(process.env.OWNER_FIRST_SEED ?? 1);
const SEED_COUNT = Number(process.env.OWNER_SEEDS ?? 6);
/** Jobs that one seed accepts at least, on average. */
const MIN_ACCEPTED = 8;
/** For runs by hand of many seeds, in milliseconds. */
const TEST_TIMEOUT_MS = 1_800_000;

const USUAL: HostileOptions = { hasCrashingTasks: false, hasLateGrants: false };
const CRASHING: HostileOptions = { ...USUAL, hasCrashingTasks: true };
const GRANTING: HostileOptions = { ...USUAL, hasLateGrants: true };

async function runScenario(
  seed: number,
  options: HostileOptions,
): Promise<HostileScenario> {
  const scenario = new HostileScenario(seed, options);
  await scenario.run();
  return scenario;
}

/** Runs all seeds once; all tests of a kind judge the same scenarios. */
async function runScenarios(options: HostileOptions) {
  const problems: HostileVerdict = {
    twice: [],
    room: [],
    quota: [],
    order: [],
    crashes: [],
    failed: [],
    unfinished: [],
  };
  let accepted = 0;
  let crashedByTasks = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
    const scenario = await runScenario(seed, options);
    const verdict = assessScenario(scenario);
    for (const [group, texts] of Object.entries(verdict)) {
      problems[group as keyof HostileVerdict].push(
        ...texts.map((text: string) => `${seed}: ${text}`),
      );
    }
    accepted += scenario.accepted.size;
    crashedByTasks += scenario.site.crashes.countAllCrashes();
  }
  return { problems, accepted, crashedByTasks };
}

const usual = runScenarios(USUAL);
const crashing = usual.then(() => runScenarios(CRASHING));
const granting = crashing.then(() => runScenarios(GRANTING));

/** Checks that no scenario of a kind breaks an invariant of the groups. */
async function checkGroups(
  t: ExecutionContext,
  scenarios: ReturnType<typeof runScenarios>,
  groups: (keyof HostileVerdict)[],
): Promise<void> {
  t.timeout(TEST_TIMEOUT_MS);
  const { problems, accepted } = await scenarios;
  t.deepEqual(groups.flatMap((group) => problems[group]), []);
  t.true(accepted > SEED_COUNT * MIN_ACCEPTED, String(accepted));
}

// Guards against orders that another lifetime of an endpoint carries out.
test("endpoints crash, leave and change their room while the owner changes: no task runs twice", (t) =>
  checkGroups(t, usual, ["twice"]));

// Guards against starts on a room that has shrunk, or that a late start takes.
test("endpoints crash, leave and change their room while the owner changes: no endpoint gets more than its room", (t) =>
  checkGroups(t, usual, ["room"]));

// Guards against runs of former owners that the next one does not count.
test("endpoints crash, leave and change their room while the owner changes: quota and order of steps hold", (t) =>
  checkGroups(t, usual, ["quota", "order"]));

// Guards against jobs that fail or wait because their endpoints crashed or left.
test("endpoints crash, leave and change their room while the owner changes: accepted jobs end, and fail only by failed runs", (t) =>
  checkGroups(t, usual, ["failed", "unfinished"]));

// Guards against a task that crashes endpoint after endpoint.
test("tasks crash the endpoints that start them while the owner changes: no crashing task is started without end", async (t) => {
  t.true((await crashing).crashedByTasks > 0);
  await checkGroups(t, crashing, ["crashes"]);
});

// Guards against runs on crashed endpoints that are taken to go on, or to have ended.
test("tasks crash the endpoints that start them while the owner changes: no task runs twice, room, quota and order hold", (t) =>
  checkGroups(t, crashing, ["twice", "room", "quota", "order"]));

// Guards against blame for crashes that falls on tasks that stood beside the cause.
test("tasks crash the endpoints that start them while the owner changes: no other job is given up", (t) =>
  checkGroups(t, crashing, ["failed"]));

// Guards against a service that a crashing task takes down.
test("tasks crash the endpoints that start them while the owner changes: all other jobs end", (t) =>
  checkGroups(t, crashing, ["unfinished"]));

// Guards against a renewal that an endpoint carries out after it was cut off.
test("leases in late orders count from their arrival: no task runs twice", (t) =>
  checkGroups(t, granting, ["twice"]));

// Guards against runs that go on longer than their owner takes them to.
test("leases in late orders count from their arrival: room, quota and order hold, and accepted jobs end", (t) =>
  checkGroups(t, granting, ["room", "quota", "order", "failed", "unfinished"]));

// Guards against scenarios that depend on the moment at which they are played.
test("a seed repeats to the event: it reads no wall clock", async (t) => {
  const options = { hasCrashingTasks: true, hasLateGrants: true };
  const first = await runScenario(FIRST_SEED, options);
  const second = await runScenario(FIRST_SEED, options);
  const other = await runScenario(FIRST_SEED + 1, options);
  const hash = first.site.computeHistoryHash();
  t.is(second.site.computeHistoryHash(), hash);
  t.not(other.site.computeHistoryHash(), hash);
});

test("detects a task that is started three times more after it crashed three endpoints", (t) => {
  const crashes = new CrashRecord();
  for (let crash = 0; crash < 3; crash++) {
    crashes.recordStart("a.0.0.0", { isLate: false });
    crashes.recordCrash("a.0.0.0");
  }
  for (let start = 0; start < 2; start++) {
    crashes.recordStart("a.0.0.0", { isLate: false });
  }
  crashes.recordStart("a.0.0.0", { isLate: true });
  t.deepEqual(crashes.listViolations(), []);
  crashes.recordStart("a.0.0.0", { isLate: false });
  t.is(crashes.listViolations().length, 1);
});

test("detects a job that is shown as failed although its tasks did not fail so often", (t) => {
  const steps = [makeStep({ tasks: 2 }), makeStep({ tasks: 2, gang: true })];
  const job = makeJob("a", steps, { queue: makeQueue({ attempts: 2 }) });
  const mayFail = (failures: [string, number[]][]) =>
    mayHaveFailed(
      job,
      new Map(failures.map(([task, runs]) => [task, new Set(runs)])),
    );
  t.false(mayFail([]));
  t.false(mayFail([["a.0.0.0", [1]], ["a.0.0.1", [1]]]));
  t.true(mayFail([["a.0.0.0", [1, 2]]]));
  t.false(mayFail([["a.0.1.0", [1]], ["a.0.1.1", [1]]]));
  t.true(mayFail([["a.0.1.0", [1]], ["a.0.1.1", [2]]]));
});

test("detects accepted jobs that have not ended, and failed jobs without a cause", async (t) => {
  const scenario = new HostileScenario(FIRST_SEED, USUAL);
  const { site } = scenario;
  await site.time.advance(1_000);
  const job = makeJob("a", [makeStep()]);
  scenario.findOwner()?.submit(job, () => scenario.accepted.set("a", job));
  await site.time.advance(100);
  t.deepEqual(assessScenario(scenario).unfinished, ["a is running"]);
  for (const endpoint of site.listUp()) {
    for (const run of endpoint.runs.values()) run.endsAt = site.time.now;
  }
  await site.time.advance(1_000);
  t.deepEqual(assessScenario(scenario).unfinished, []);
  scenario.findState = () => JobState.Failed;
  t.is(assessScenario(scenario).failed.length, 1);
});

test("an endpoint that crashes is back under its id or a new one, at the same address", async (t) => {
  const { site } = new HostileScenario(FIRST_SEED, USUAL);
  await site.time.advance(1_000);
  const w0 = site.endpoints.get("w0")!;
  site.crashEndpoint(w0, Return.SameId);
  t.false(site.isUp(w0));
  await site.time.advance(4_000);
  t.true(site.isUp(w0));
  site.crashEndpoint(w0, Return.NewId);
  await site.time.advance(4_000);
  t.false(site.isUp(w0));
  const successor = site.findEndpoint({ address: "w0" });
  t.not(successor, w0);
  t.true(successor && site.isUp(successor));
  await site.time.advance(1_000);
  t.false(site.state.items.has("endpoints/w0"));
});
