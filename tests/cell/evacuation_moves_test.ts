import test from "ava";
import { findTask } from "../../packages/cell/stages.ts";
import { MIN_MOVED_REST_MS } from "../../packages/evacuation/mod.ts";
import {
  type Demand,
  JobState,
  type StepSpec,
} from "../../packages/jobs/mod.ts";
import {
  type CellSite,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";
import { evacuate, makeTwoDomains } from "./evacuation_site.ts";

const LONG_RUN_MS = 60_000;
/** Time that a stop takes on the slower of the two deployments, in milliseconds. */
const STOP_MS = 900;
/** Time after which a long-running task has started up, in milliseconds. */
const START_UP_MS = 500;
/** Interval of checkpoints there, in milliseconds. */
const CHECKPOINT_MS = 2_000;

/** Makes a site on which a stop takes its time and runs list checkpoints. */
function makeSite(endpoints = 4): CellSite {
  const site = makeTwoDomains({ endpoints, afterMs: LONG_RUN_MS });
  for (const endpoint of site.endpoints.values()) {
    endpoint.getStopMs = () => STOP_MS;
    endpoint.getPercent = ({ endsAt }) => {
      const ageMs = site.now - (endsAt - LONG_RUN_MS);
      return Math.min(100, Math.floor(100 * ageMs / START_UP_MS));
    };
    endpoint.getSaved = () =>
      `at ${Math.floor(site.now / CHECKPOINT_MS) * CHECKPOINT_MS}`;
  }
  return site;
}

/** Counts the runs on the endpoints of domain `a`. */
function countRunsInA({ endpoints }: CellSite): number {
  return [...endpoints.values()]
    .filter(({ id }) => Number(id.slice(1)) % 2 === 0)
    .reduce((sum, { runs }) => sum + runs.size, 0);
}

/** Advances the site and returns the most tasks of job `s` that were away at a time. */
function advanceAndWatch(site: CellSite, ms: number): number {
  const until = site.now + ms;
  let mostAway = 0;
  while (site.now < until) {
    site.advance(10);
    const serving = [...site.endpoints.values()].flatMap((endpoint) =>
      [...endpoint.runs.values()].filter((run) =>
        run.task.startsWith("s.") && run.stopsAt === undefined &&
        endpoint.getPercent(run) === 100
      )
    );
    const { tasks } = findTask(site.cell.state, "s.0.0.0")!.stage;
    mostAway = Math.max(mostAway, tasks.length - serving.length);
  }
  return mostAway;
}

for (const maxAway of [0, 1]) {
  // Guards against a service that loses several of its tasks at once for an evacuation.
  test(`long-running tasks move one at a time, with a budget of ${maxAway}`, (t) => {
    const site = makeSite();
    const step = makeStep({
      tasks: 6,
      longRunning: true,
      maxAway,
      maxPerEndpoint: 3,
    });
    site.submit(makeJob("s", [step]));
    site.advance(1_000);
    const there = countRunsInA(site);
    t.true(there > 0);
    evacuate(site, "a");
    t.is(advanceAndWatch(site, there * (STOP_MS + START_UP_MS + 600)), 1);
    t.is(countRunsInA(site), 0);
    t.is(site.calls.stops, there);
    t.deepEqual(site.checker.violations, []);
  });
}

// Guards against a task that is stopped although it cannot start anywhere else.
test("a long-running task stays while no other domain has room, and moves once one has", (t) => {
  const site = makeSite(2);
  const whole = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };
  const step = makeStep({ demand: whole, longRunning: true });
  site.submit(makeJob("s", [step]));
  site.submit(makeJob("x", [step]));
  site.advance(1_000);
  t.is(countRunsInA(site), 1);
  evacuate(site, "a");
  site.advance(3_000);
  t.is(site.calls.stops, 0);
  site.cancel(site.endpoints.get("e1")!.runs.has("x.0.0.0") ? "x" : "s");
  site.advance(4_000);
  t.is(countRunsInA(site), 0);
  t.is(site.endpoints.get("e1")!.runs.size, 1);
});

// Guards against a service that loses a task since waiting work takes its room
// elsewhere while its run is being stopped.
test("a task that is being moved finds its room although other work waits", (t) => {
  const site = makeSite(2);
  const small = { milliCores: 3_000, memoryMb: 100, accelerators: 0 };
  const large = { milliCores: 4_000, memoryMb: 100, accelerators: 0 };
  const submit = (id: string, demand: Demand) =>
    site.submit(makeJob(id, [makeStep({ demand, longRunning: true })]));
  submit("s", large);
  site.advance(300);
  submit("y", large);
  site.advance(300);
  submit("z", { ...large, milliCores: 2_000 });
  site.advance(300);
  t.is(countRunsInA(site), 2);
  evacuate(site, "a");
  site.advance(300);
  t.true(site.calls.stops > 0);
  for (let n = 0; n < 6; n++) submit(`w${n}`, small);
  site.advance(2 * STOP_MS);
  const inB = [...site.endpoints.get("e1")!.runs.keys()];
  t.true(inB.includes("s.0.0.0") || inB.includes("y.0.0.0"));
});

test("a long-running task moves only to endpoints that the policy service allows", (t) => {
  const site = makeSite(2);
  let allowed = "e0";
  site.isEndpointAllowed = (id) => id === allowed;
  const queue = makeQueue({ advice: TICKETS });
  site.submit(makeJob("s", [makeStep({ longRunning: true })], { queue }));
  site.advance(1_000);
  t.is(countRunsInA(site), 1);
  evacuate(site, "a");
  site.advance(3_000);
  t.is(site.calls.stops, 0);
  allowed = "e1";
  site.submit(makeJob("s2", [makeStep({ longRunning: true })], { queue }));
  site.advance(3_000);
  t.is(countRunsInA(site), 1);
});

// Guards against lost work: a move between two checkpoints, or one that takes longer
// than the rest of the run.
test("a checkpointing run moves right after its next checkpoint if much of it remains", (t) => {
  const site = makeSite(2);
  for (const endpoint of site.endpoints.values()) {
    // Little progress, but enough not to count as stalled.
    endpoint.getPercent = () => 1 + Math.floor(site.now / 100) % 10;
  }
  const submit = (id: string, estimateMs: number) =>
    site.submit(
      makeJob(id, [makeStep({ checkpointing: true, estimateMs, tasks: 4 })]),
    );
  submit("s", 30_000);
  site.advance(300);
  submit("x", MIN_MOVED_REST_MS);
  site.advance(1_000);
  t.is(countRunsInA(site), 8);
  while (site.now % CHECKPOINT_MS !== 500) site.advance(10);
  evacuate(site, "a");
  site.advance(1_400);
  t.is(site.calls.stops, 0);
  site.advance(400);
  t.is(site.calls.stops, 4);
  const checkpoint = `at ${
    Math.floor(site.now / CHECKPOINT_MS) * CHECKPOINT_MS
  }`;
  site.advance(STOP_MS + 500);
  t.is(countRunsInA(site), 4);
  t.deepEqual(
    site.checker.startCheckpoints.slice(-4),
    Array.from({ length: 4 }, () => checkpoint),
  );
  t.deepEqual(site.checker.violations, []);
});

test("gangs, work without checkpoints and runs on silent endpoints are not stopped", (t) => {
  const site = makeSite(2);
  for (const endpoint of site.endpoints.values()) {
    endpoint.getPercent = () => 1 + Math.floor(site.now / 100) % 10;
  }
  const submit = (id: string, overrides: Partial<StepSpec>) => {
    const step = makeStep({ estimateMs: LONG_RUN_MS, ...overrides });
    site.submit(makeJob(id, [step]));
    site.advance(300);
  };
  submit("s", { longRunning: true });
  submit("w", { tasks: 4 });
  submit("g", {
    tasks: 10,
    maxPerEndpoint: 7,
    gang: true,
    checkpointing: true,
  });
  t.is(site.find("g"), JobState.Running);
  t.true([...site.endpoints.get("e0")!.runs.keys()].some(isOfGang));
  evacuate(site, "a");
  site.endpoints.get("e0")!.isUnreachable = true;
  site.advance(2_000);
  t.is(site.calls.stops, 0);
  site.endpoints.get("e0")!.isUnreachable = false;
  site.advance(3_000);
  t.is(site.calls.stops, 1);
  t.is(site.find("g"), JobState.Running);
  t.true([...site.endpoints.get("e0")!.runs.keys()].some(isOfGang));
  t.false(site.endpoints.get("e0")!.runs.has("s.0.0.0"));
});

function isOfGang(task: string): boolean {
  return task.startsWith("g.");
}
