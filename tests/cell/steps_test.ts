import test from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeQueue, makeStep } from "./cell_site.ts";

const halfEndpoint = { milliCores: 4_000, memoryMb: 100, accelerators: 0 };

test("occurrences start when they are due and never early", (t) => {
  const site = new CellSite({ afterMs: 100 });
  site.advance(200);
  site.submit(makeJob("a", [makeStep()], {
    occurrences: 3,
    firstRunAt: site.now + 1_000,
    intervalMs: 1_000,
  }));
  site.advance(950);
  t.is(site.checker.starts, 0);
  site.advance(300);
  t.is(site.checker.starts, 1);
  site.advance(2_500);
  t.is(site.checker.starts, 3);
  t.is(site.find("a"), JobState.Completed);
});

test("long-running tasks are restarted until their job is cancelled", (t) => {
  const site = new CellSite();
  site.endRule = (run) => ({
    afterMs: run.run === 1 ? 300 : 60_000,
    endKind: run.run === 1 ? EndKind.Failed : EndKind.Done,
  });
  site.submit(makeJob("a", [makeStep({ longRunning: true, tasks: 2 })]));
  site.advance(2_000);
  t.is(site.checker.starts, 4);
  t.is(site.find("a"), JobState.Running);
  site.cancel("a");
  site.advance(1_000);
  t.is(site.find("a"), JobState.Cancelled);
  for (const endpoint of site.endpoints.values()) t.is(endpoint.runs.size, 0);
});

test("maxPerEndpoint limits the tasks of a step on one endpoint", (t) => {
  const site = new CellSite({ endpoints: 3, afterMs: 5_000 });
  site.submit(makeJob("a", [makeStep({ tasks: 9, maxPerEndpoint: 2 })]));
  site.advance(1_000);
  for (const endpoint of site.endpoints.values()) {
    t.is(endpoint.runs.size, 2);
  }
});

test("a required label is enforced and a preferred rack is chosen", (t) => {
  const site = new CellSite({ endpoints: 4, afterMs: 5_000 });
  site.describeEndpoint = (id) => ({
    labels: id === "e1" ? ["fast"] : [],
    rack: id === "e2" ? "r2" : "r1",
  });
  site.applyEndpointList();
  site.submit(makeJob("a", [makeStep({ tasks: 3, requiredLabel: "fast" })]));
  site.submit(makeJob("b", [makeStep({ tasks: 3, preferredRack: "r2" })]));
  site.advance(500);
  t.is(site.endpoints.get("e1")?.runs.size, 3);
  t.is(site.endpoints.get("e2")?.runs.size, 3);
});

test("the running tasks of an organisation never exceed its quota", (t) => {
  const site = new CellSite({ afterMs: 400 });
  const cap = { milliCores: 3_000, memoryMb: 0, accelerators: 0 };
  site.cell.updateOrganisations([{ name: "norte", weight: 9, cap }]);
  site.checker.setQuota({ ...cap, memoryMb: 99_999, accelerators: 9 });
  site.submit(makeJob("a", [makeStep({ tasks: 12 })]));
  site.advance(3_500);
  t.is(site.checker.done.size, 12);
  t.deepEqual(site.checker.violations, []);
});

test("a draining endpoint gets no new tasks", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 300 });
  site.advance(200);
  site.draining.add("e0");
  site.applyEndpointList();
  site.submit(makeJob("a", [makeStep({ tasks: 20 })]));
  site.advance(3_000);
  t.is(site.checker.done.size, 20);
  t.is(site.checker.startsOn.get("e0") ?? 0, 0);
});

test("an endpoint on which every run fails gets few starts", (t) => {
  const site = new CellSite({ endpoints: 4, afterMs: 100 });
  site.advance(200);
  site.endRule = (run, _random) => ({
    afterMs: 100,
    endKind: run.endpoint === "e0" ? EndKind.Failed : EndKind.Done,
  });
  for (let n = 0; n < 60; n++) {
    site.submit(makeJob(`j${n}`, [makeStep({ demand: halfEndpoint })]));
    site.advance(100);
  }
  site.advance(3_000);
  for (let n = 0; n < 60; n++) t.is(site.find(`j${n}`), JobState.Completed);
  t.true((site.checker.startsOn.get("e0") ?? 0) <= 8);
});

test("a task without progress is stopped and restarted elsewhere", (t) => {
  const site = new CellSite({ endpoints: 2 });
  site.endRule = (run) => ({
    afterMs: run.run === 1 ? 60_000 : 300,
    endKind: EndKind.Done,
  });
  for (const endpoint of site.endpoints.values()) endpoint.isStalled = true;
  site.submit(makeJob("a", [makeStep()]));
  site.advance(5_000);
  t.is(site.find("a"), JobState.Completed);
  t.is(site.checker.startsOn.size, 2);
  t.deepEqual(site.checker.violations, []);
});

test("a restarted task resumes from its checkpoint", (t) => {
  const site = new CellSite({ endpoints: 2 });
  site.endRule = (run) => ({
    afterMs: 300,
    endKind: run.run === 1 ? EndKind.Failed : EndKind.Done,
  });
  for (const endpoint of site.endpoints.values()) endpoint.checkpoint = "half";
  site.submit(makeJob("a", [makeStep({ checkpointing: true })]));
  site.advance(2_000);
  t.deepEqual(site.checker.startCheckpoints, ["", "half"]);
});

test("a job fails when one of its tasks has used all its attempts", (t) => {
  const site = new CellSite();
  site.endRule = () => ({ afterMs: 50, endKind: EndKind.Failed });
  const queue = makeQueue({ attempts: 4 });
  site.submit(makeJob("a", [makeStep(), makeStep({ tasks: 3 })], { queue }));
  site.advance(10_000);
  t.is(site.find("a"), JobState.Failed);
  t.true(site.checker.starts <= 16);
});
