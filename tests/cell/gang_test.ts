import test from "ava";
import { EndKind, JobState, type StepSpec } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeQueue, makeStep } from "./cell_site.ts";

const wholeEndpointDemand = {
  milliCores: 8_000,
  memoryMb: 100,
  accelerators: 0,
};

test("a gang that ends on several endpoints completes its step once", (t) => {
  // Regression: each end completed the step again; the next step never ran.
  const site = new CellSite({ endpoints: 3 });
  const gang = makeStep({ tasks: 3, gang: true, demand: wholeEndpointDemand });
  site.submit(makeJob("a", [gang, makeStep({ after: [0] })]));
  site.advance(900);
  t.is(site.find("a"), JobState.Running);
  site.advance(600);
  t.is(site.find("a"), JobState.Completed);
  t.true(site.checker.done.has("a.0.1.0"));
  t.is(site.calls.stops, 0);
});

test("a gang starts only when all of its tasks fit", (t) => {
  const site = new CellSite({ endpoints: 3, afterMs: 1_000 });
  site.submit(makeJob("small", [makeStep()]));
  site.advance(300);
  const gang = makeStep({ tasks: 3, gang: true, demand: wholeEndpointDemand });
  site.submit(makeJob("gang", [gang]));
  site.advance(300);
  t.is(site.checker.starts, 1);
  site.advance(3_000);
  t.is(site.find("gang"), JobState.Completed);
  t.is(site.checker.starts, 4);
});

test("capacity is kept for a waiting gang when small jobs follow", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 400 });
  const gang = makeStep({ tasks: 2, gang: true, demand: wholeEndpointDemand });
  const halfEndpointStep = makeStep({
    demand: { milliCores: 4_000, memoryMb: 100, accelerators: 0 },
  });
  site.submit(makeJob("s0", [halfEndpointStep]));
  site.advance(100);
  site.submit(makeJob("gang", [gang]));
  for (let n = 1; n < 20; n++) {
    site.submit(makeJob(`s${n}`, [halfEndpointStep]));
    site.advance(100);
  }
  t.is(site.find("gang"), JobState.Completed);
});

test("a gang completes although some of its start orders are lost", (t) => {
  const site = new CellSite({ endpoints: 3 });
  const gang = makeStep({ tasks: 3, gang: true, demand: wholeEndpointDemand });
  site.advance(300);
  site.lostStartRatio = 0.4;
  site.submit(makeJob("a", [gang]));
  site.advance(1_500);
  site.lostStartRatio = 0;
  site.advance(20_000);
  t.is(site.find("a"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

test("a gang that has used all its attempts is not started again", (t) => {
  const site = new CellSite({ endpoints: 2 });
  site.endRule = () => ({ afterMs: 100, endKind: EndKind.Failed });
  const gang = makeStep({ tasks: 2, gang: true });
  site.submit(makeJob("a", [gang]));
  site.advance(20_000);
  t.is(site.find("a"), JobState.Failed);
  t.true(site.checker.starts <= 6);
});

// Guards against a gang that starves because capacity is reserved for it by cores
// alone: all of its tasks on one endpoint, which has the memory of one.
test("capacity is kept for a waiting gang whose tasks need a whole endpoint's memory or accelerators", (t) => {
  const capacity = { milliCores: 8_000, memoryMb: 8_000, accelerators: 2 };
  for (const need of [{ memoryMb: 8_000 }, { accelerators: 2 }]) {
    const site = new CellSite({ endpoints: 2, capacity });
    // The small runs on an endpoint do not end together.
    site.endRule = (_run, random) => ({
      afterMs: 300 + random.drawInt(400),
      endKind: EndKind.Done,
    });
    const demand = { milliCores: 1_000, memoryMb: 100, accelerators: 0 };
    const half = { milliCores: 1_000, memoryMb: 4_000, accelerators: 1 };
    site.submit(makeJob("s0", [makeStep({ demand: half })]));
    site.submit(makeJob("s1", [makeStep({ demand: half })]));
    site.advance(100);
    const gangDemand = { ...demand, ...need };
    const gang = makeStep({ tasks: 2, gang: true, demand: gangDemand });
    site.submit(makeJob("gang", [gang]));
    for (let n = 2; n < 60; n++) {
      site.submit(makeJob(`s${n}`, [makeStep({ demand: half })]));
      site.advance(50);
    }
    t.is(site.find("gang"), JobState.Completed, JSON.stringify(need));
  }
});

/** Keeps the endpoints busy with small jobs while a gang waits; returns its state. */
function submitGangAmongSmallJobs(
  site: CellSite,
  gang: StepSpec,
): JobState | undefined {
  site.endRule = (run, random) => ({
    afterMs: run.task.startsWith("s") ? 400 + random.drawInt(400) : 100,
    endKind: EndKind.Done,
  });
  site.pollIntervalMs = 10;
  const queue = makeQueue({ targetLatencyMs: 60_000 });
  const submitSmallJobs = (round: number) => {
    for (let n = 0; n < 4; n++) {
      site.submit(makeJob(`s${round}-${n}`, [makeStep()], { queue }));
    }
  };
  for (let round = 0; round < 20; round++) {
    submitSmallJobs(round);
    site.advance(30);
  }
  site.submit(makeJob("gang", [gang]));
  for (let round = 20; round < 120; round++) {
    submitSmallJobs(round);
    site.advance(50);
  }
  return site.find("gang");
}

// Guards against a gang that starves because capacity is reserved on one endpoint for
// more of its tasks than may run there.
test("capacity is kept on as many endpoints as the limit of a waiting gang on one asks for", (t) => {
  const site = new CellSite({ endpoints: 2 });
  const demand = { milliCores: 4_000, memoryMb: 100, accelerators: 0 };
  const gang = makeStep({ tasks: 2, gang: true, demand, maxPerEndpoint: 1 });
  t.is(submitGangAmongSmallJobs(site, gang), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a gang that starves because capacity is reserved for it on endpoints
// of several racks.
test("capacity is kept in one rack for a waiting gang that needs one", (t) => {
  const site = new CellSite({ endpoints: 6 });
  site.describeEndpoint = (id) => ({
    labels: [],
    rack: ["e0", "e2", "e4"].includes(id) ? "r0" : "r1",
  });
  site.applyEndpointList();
  const gang = makeStep({
    tasks: 3,
    gang: true,
    demand: wholeEndpointDemand,
    rackLocal: true,
  });
  t.is(submitGangAmongSmallJobs(site, gang), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});
