import test from "ava";
import { EndKind, JobState, type StepSpec } from "../../packages/jobs/mod.ts";
import type { FakeEndpoint, FakeRun } from "./fake_endpoint.ts";
import { CellSite, makeJob, makeQueue, makeStep } from "./cell_site.ts";

const TARGET_MS = 100;
const wide = { milliCores: 6_000, memoryMb: 1_000, accelerators: 0 };

function makeServing(step: Partial<StepSpec> = {}): StepSpec {
  return makeStep({ longRunning: true, targetMs: TARGET_MS, ...step });
}

function makeFilling(step: Partial<StepSpec> = {}): StepSpec {
  return makeStep({ isFilling: true, demand: wide, ...step });
}

function isServing(run: FakeRun): boolean {
  return run.task.startsWith("desk");
}

/** Load: batch work fills what services leave, and disturbs them. */
function makeSite(endpoints: number): CellSite {
  const site = new CellSite({ endpoints });
  site.endRule = () => ({ afterMs: 600_000, how: EndKind.Done });
  for (const fake of site.endpoints.values()) {
    fake.percentOf = (run) => isServing(run) ? 100 : 10;
  }
  return site;
}

function listFilling(fake: FakeEndpoint): FakeRun[] {
  return [...fake.runs.values()].filter((run) => !isServing(run));
}

/** A tail that grows with the work of the filling runs beside it. */
function disturb(fake: FakeEndpoint, perRunMs: number): void {
  fake.gaugeOf = (run) => {
    if (!isServing(run)) return 0;
    const paces = listFilling(fake).map(({ pace }) => pace / 100);
    return 50 + perRunMs * paces.reduce((sum, pace) => sum + pace, 0);
  };
}

test("filling work takes memory but no cores of an endpoint", (t) => {
  const site = makeSite(1);
  site.submit(makeJob("fill", [makeFilling({ tasks: 4 })]));
  site.advance(500);
  t.is(site.endpoints.get("e0")?.runs.size, 4, "24 cores on 8");
  site.submit(makeJob("plain", [makeStep({ tasks: 8 })]));
  site.advance(500);
  t.is(site.endpoints.get("e0")?.runs.size, 12);
});

test("filling work counts against its organisation's cap", (t) => {
  const site = makeSite(2);
  const cap = { milliCores: 12_000, memoryMb: 0, accelerators: 0 };
  site.cell.updateOrganisations([{ name: "norte", weight: 1, cap }]);
  site.submit(makeJob("fill", [makeFilling({ tasks: 4 })]));
  site.advance(500);
  const runs = [...site.endpoints.values()].map(({ runs }) => runs.size);
  t.deepEqual(runs, [1, 1], "two of six cores each");
});

test("a serving task over its target gets its pace back within 4 s", (t) => {
  const site = makeSite(1);
  const fake = site.endpoints.get("e0")!;
  disturb(fake, 60);
  site.submit(makeJob("desk", [makeServing()]));
  site.submit(makeJob("fill", [makeFilling({ tasks: 3 })]));
  let overSince = site.now;
  let longestOver = 0;
  for (let ms = 0; ms < 20_000; ms += 100) {
    site.advance(100);
    const desk = [...fake.runs.values()].find(isServing);
    const isOver = desk !== undefined && fake.gaugeOf(desk) > TARGET_MS;
    if (!isOver) overSince = site.now;
    longestOver = Math.max(longestOver, site.now - overSince);
  }
  t.true(longestOver < 4_000, `${longestOver} ms over the target`);
  t.true(listFilling(fake).length === 3, "it works on, slower");
  t.true(listFilling(fake).every(({ pace }) => pace < 100));
});

test("filling work gets its pace back when the services are calm", (t) => {
  const site = makeSite(1);
  const fake = site.endpoints.get("e0")!;
  disturb(fake, 100);
  site.submit(makeJob("desk", [makeServing()]));
  site.submit(makeJob("fill", [makeFilling()]));
  site.advance(3_000);
  t.true(listFilling(fake)[0].pace < 100);
  disturb(fake, 0);
  site.advance(8_000);
  t.is(listFilling(fake)[0].pace, 100);
});

test("filling work that may do nothing moves to where it may", (t) => {
  const site = makeSite(2);
  const [first, second] = [...site.endpoints.values()];
  for (const fake of [first, second]) {
    fake.gaugeOf = (run) => isServing(run) && fake === first ? 150 : 10;
  }
  site.submit(makeJob("desk", [makeServing({ tasks: 2, maxPerEndpoint: 1 })]));
  site.submit(makeJob("fill", [makeFilling({ tasks: 2 })]));
  site.advance(15_000);
  t.is(listFilling(first).length, 0);
  t.is(listFilling(second).length, 2);
});

test("a new owner sets the pace that a former one may have cut", (t) => {
  const site = makeSite(1);
  const fake = site.endpoints.get("e0")!;
  site.submit(makeJob("fill", [makeFilling()]));
  site.advance(500);
  listFilling(fake)[0].pace = 0;
  site.replaceOwner();
  site.advance(1_000);
  t.is(listFilling(fake)[0].pace, 100);
});

test("only so many tasks of a lasting step are taken away at once", (t) => {
  const site = makeSite(4);
  const step = makeServing({ tasks: 3, maxAway: 1, maxPerEndpoint: 1 });
  site.submit(makeJob("desk", [step]));
  site.advance(1_000);
  const used = [...site.endpoints.values()].filter(({ runs }) => runs.size > 0);
  t.is(used.length, 3);
  site.cell.setCordoned(new Set([used[0].id]));
  for (const { id } of used) site.cell.stopRunsOn(id, site.present);
  site.advance(100);
  t.is(site.calls.stops, 1, "the others are at work");
  site.advance(2_000);
  const [first, second] = used;
  t.is(first.runs.size, 0, "its task went to the free endpoint");
  site.cell.stopRunsOn(second.id, site.present);
  site.advance(100);
  t.is(site.calls.stops, 2, "all are at work again");
});

test("a closed endpoint gets no work until it is open again", (t) => {
  const site = makeSite(2);
  site.advance(200);
  site.cell.setCordoned(new Set(["e0"]));
  site.submit(makeJob("plain", [makeStep({ tasks: 10 })]));
  site.advance(1_000);
  t.is(site.endpoints.get("e0")?.runs.size, 0);
  t.true(site.cell.isEndpointEmpty("e0"));
  t.false(site.cell.isEndpointEmpty("e1"));
  site.cell.setCordoned(new Set());
  site.advance(1_000);
  t.is(site.endpoints.get("e0")?.runs.size, 2);
});

test("a task that comes again is due anew each time", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: 400 });
  const all = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };
  const step = makeStep({ demand: all, estimateMs: 400 });
  site.submit(makeJob("timer", [step], {
    occurrences: 2,
    firstRunAt: site.now + 5_000,
    intervalMs: 10_000,
  }));
  site.advance(14_500);
  // Handed in long ago, but its second time is due before these are.
  const queue = makeQueue({ targetLatencyMs: 8_000 });
  for (let n = 0; n < 10; n++) {
    site.submit(makeJob(`job${n}`, [step], { queue }));
  }
  site.advance(2_500);
  t.is(site.find("timer"), JobState.Completed);
});
