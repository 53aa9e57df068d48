import test from "ava";
import { LeavingName } from "../../packages/cell/mod.ts";
import { chooseLeaving, LeavingChoice } from "../../packages/cell/leaving.ts";
import { EndKind, JobState, type StepSpec } from "../../packages/jobs/mod.ts";
import { PlatformRecords } from "../../platform/site_records.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";
import { evacuate, makeTwoDomains } from "./evacuation_site.ts";

const TASK = "a.0.0.0";

/** Time of the longest stop and the margin before it, in milliseconds. */
const LAST_USEFUL_MS = 900 + 500;

const WHOLE_ENDPOINT = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };

function makeSite(
  { leaving = LeavingName.Move, endpoints = 2, afterMs = 10_000 } = {},
): CellSite {
  const site = new CellSite({ endpoints, afterMs, policies: { leaving } });
  site.advance(200);
  return site;
}

/** Lets an endpoint drain; after `remainingMs` it is gone with its runs. */
function beginLeaving(site: CellSite, id: string, remainingMs: number): number {
  site.draining.add(id);
  site.remainingMs.set(id, remainingMs);
  site.applyEndpointList();
  return site.now + remainingMs;
}

/** Ends an endpoint and all its runs. */
function endEndpoint(site: CellSite, id: string): void {
  const fake = site.endpoints.get(id)!;
  fake.isUnreachable = true;
  fake.restart(site.now);
  site.endpoints.delete(id);
  site.applyEndpointList();
}

function runStep(
  step: Partial<StepSpec>,
  options: { remainingMs: number; leaving: LeavingName },
): { site: CellSite; leavesAt: number; id: string } {
  const { remainingMs, leaving } = options;
  const site = makeSite({ leaving });
  for (const fake of site.endpoints.values()) {
    fake.checkpoint = "half";
    fake.getStopMs = () => 900;
  }
  site.submit(makeJob("a", [makeStep({ estimateMs: 10_000, ...step })]));
  site.advance(500);
  const { id } = site.findPlacement(TASK);
  return { site, id, leavesAt: beginLeaving(site, id, remainingMs) };
}

// Guards against progress that is lost with a leaving endpoint, and against work that is
// stopped earlier than its endpoint's time asks for.
test("checkpointing work that cannot end in time is saved at the last useful moment", (t) => {
  for (const leaving of Object.values(LeavingName)) {
    const { site, id, leavesAt } = runStep({ checkpointing: true }, {
      remainingMs: 4_000,
      leaving,
    });
    const isMove = leaving === LeavingName.Move;
    site.advance(leavesAt - LAST_USEFUL_MS - 20 - site.now);
    t.is(site.calls.stops, 0);
    site.advance(40);
    t.is(site.calls.stops, isMove ? 1 : 0);
    site.advance(leavesAt - site.now);
    endEndpoint(site, id);
    site.advance(20_000);
    t.is(site.find("a"), JobState.Completed);
    t.deepEqual(site.checker.startCheckpoints, ["", isMove ? "half" : ""]);
    t.deepEqual(site.checker.violations, []);
  }
});

// Guards against work that is stopped although it would have ended in time, and against
// a deadline that moves on whenever an unchanged record is read again.
test("work whose remaining time fits runs to its end; other work moves at once to free room", (t) => {
  const fitting = runStep({ estimateMs: 3_000 }, {
    remainingMs: 4_000,
    leaving: LeavingName.Move,
  });
  fitting.site.advance(3_900);
  t.is(fitting.site.calls.stops, 0);

  const { site, id, leavesAt } = runStep({ checkpointing: false }, {
    remainingMs: 4_000,
    leaving: LeavingName.Move,
  });
  site.advance(100);
  t.is(site.calls.stops, 1);
  site.advance(1_100);
  t.not(site.findPlacement(TASK).id, id);

  const saved = runStep({ checkpointing: true }, {
    remainingMs: 4_000,
    leaving: LeavingName.Move,
  });
  while (saved.site.calls.stops === 0 && saved.site.now < saved.leavesAt) {
    saved.site.applyEndpointList();
    saved.site.advance(10);
  }
  t.true(saved.leavesAt - saved.site.now >= LAST_USEFUL_MS - 20);
  t.true(leavesAt > site.now);
});

// Guards against work that is stopped, and so lost earlier, while it can start nowhere.
test("work that a stop does not save stays while there is no room elsewhere", (t) => {
  const site = makeSite();
  const step = makeStep({ demand: WHOLE_ENDPOINT, estimateMs: 10_000 });
  site.submit(makeJob("a", [step]));
  site.submit(makeJob("b", [step]));
  site.advance(300);
  const { id } = site.findPlacement(TASK);
  beginLeaving(site, id, 4_000);
  site.advance(3_900);
  t.is(site.calls.stops, 0);
  endEndpoint(site, id);
  site.advance(30_000);
  t.is(site.find("a"), JobState.Completed);
  t.is(site.find("b"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a long-running task that is stopped and then waits for the end of an
// evacuation, and against other work that is lost earlier than with its endpoint.
for (const longRunning of [true, false]) {
  test(`room in an evacuated domain is no room elsewhere: longRunning ${longRunning}`, (t) => {
    const policies = { leaving: LeavingName.Move };
    const site = makeTwoDomains({ endpoints: 2, afterMs: 60_000, policies });
    for (const fake of site.endpoints.values()) {
      if (longRunning) fake.getPercent = () => 100;
    }
    evacuate(site, "a");
    const step = makeStep({ longRunning, maxAway: 1, estimateMs: 10_000 });
    site.submit(makeJob("a", [step]));
    site.advance(500);
    beginLeaving(site, site.findPlacement(TASK).id, 4_000);
    site.advance(2_000);
    t.is(site.calls.stops, 0);
    evacuate(site);
    site.advance(1_000);
    t.is(site.calls.stops, 1);
    t.deepEqual(site.checker.violations, []);
  });
}

// Guards against a gang that loses what all members have done since the last checkpoint
// when the endpoint of one of them is gone.
test("a gang with a member on a leaving endpoint is saved and moves as a whole", (t) => {
  const site = makeSite({ endpoints: 4 });
  for (const fake of site.endpoints.values()) {
    fake.checkpoint = "half";
    fake.getStopMs = () => 900;
  }
  const gang = makeStep({
    tasks: 3,
    gang: true,
    checkpointing: true,
    demand: WHOLE_ENDPOINT,
    estimateMs: 10_000,
  });
  site.submit(makeJob("a", [gang]));
  site.advance(500);
  const { id } = site.findPlacement(TASK);
  const leavesAt = beginLeaving(site, id, 4_000);
  site.advance(leavesAt - LAST_USEFUL_MS - 20 - site.now);
  t.is(site.calls.stops, 0);
  site.advance(300);
  t.is(site.calls.stops, 3);
  site.advance(leavesAt - site.now);
  endEndpoint(site, id);
  site.advance(15_000);
  t.is(site.find("a"), JobState.Completed);
  t.is(site.checker.starts, 6);
  t.deepEqual(site.checker.startCheckpoints.slice(3), Array(3).fill("half"));
  t.deepEqual(site.checker.violations, []);
});

// Guards against a service that loses more tasks at a time than its disruption budget
// because several of its endpoints leave together.
test("long-running tasks move one at a time within their disruption budget", (t) => {
  const site = makeSite({ endpoints: 6, afterMs: 1_000_000 });
  for (const fake of site.endpoints.values()) {
    fake.getPercent = () => 100;
    fake.getStopMs = () => 400;
  }
  const step = makeStep({
    tasks: 3,
    longRunning: true,
    maxAway: 1,
    maxPerEndpoint: 1,
  });
  site.submit(makeJob("a", [step]));
  site.advance(1_000);
  const former = [0, 1, 2].map((n) => site.findPlacement(`a.0.0.${n}`).id);
  for (const id of former) beginLeaving(site, id, 30_000);
  let fewest = 3;
  for (let n = 0; n < 1_000; n++) {
    site.advance(10);
    const running = [...site.endpoints.values()].flatMap(({ runs }) =>
      [...runs.values()].filter(({ stopsAt }) => stopsAt === undefined)
    );
    fewest = Math.min(fewest, running.length);
  }
  t.is(fewest, 2);
  for (const n of [0, 1, 2]) {
    t.false(former.includes(site.findPlacement(`a.0.0.${n}`).id));
  }
  t.deepEqual(site.checker.violations, []);
});

// Guards against a choice that wastes more work than the end of the endpoint would.
test("unsaved work moves only if that wastes less than the end of the endpoint", (t) => {
  const inputs = { leftMs: 1_000, elapsedMs: 9_000, isSavedByStop: false };
  const choose = (restMs: number[]) => chooseLeaving({ ...inputs, restMs });
  t.is(choose([2_000, 3_000, 4_000, 5_000, 6_000]), LeavingChoice.Move);
  // It ends in time with a chance of a quarter, which outweighs one more second.
  t.is(choose([500, 900, 4_000, 5_000, 6_000]), LeavingChoice.Stay);
  t.is(choose([500, 900, 1_000, 5_000, 6_000]), LeavingChoice.Stay);
});

// Guards against work that is moved by a time that the record does not state, and
// against a record that cannot be used because the field is malformed.
test("the time left is read from the records of draining endpoints only", (t) => {
  const records = new PlatformRecords();
  const decode = (state: string, remaining_ms: unknown) => {
    const record = {
      service: "desk",
      addr: "10.0.0.1:1",
      zone: "a",
      state,
      room: {},
      remaining_ms,
    };
    return records.decodeEndpoint("servers/i-1", JSON.stringify(record));
  };
  t.is(decode("draining", 4_000)?.remainingMs, 4_000);
  t.is(decode("draining", 0)?.remainingMs, 0);
  t.is(decode("ready", 4_000)?.remainingMs, undefined);
  for (const remaining of [undefined, null, "4000", -1, {}]) {
    t.true(decode("draining", remaining)?.isDraining);
    t.is(decode("draining", remaining)?.remainingMs, undefined);
  }
});

// Guards against runs that are stopped while a record says nothing of the time left.
test("runs on a draining endpoint whose time left is not known go on", (t) => {
  const site = makeSite({ afterMs: 3_000 });
  site.endRule = () => ({ afterMs: 3_000, endKind: EndKind.Done });
  site.submit(makeJob("a", [makeStep({ estimateMs: 10_000 })]));
  site.advance(300);
  site.draining.add(site.findPlacement(TASK).id);
  site.applyEndpointList();
  site.advance(4_000);
  t.is(site.calls.stops, 0);
  t.is(site.find("a"), JobState.Completed);
});
