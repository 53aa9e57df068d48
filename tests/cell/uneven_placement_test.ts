import test from "ava";
import { ChoiceName, type PolicyNames } from "../../packages/cell/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  getJobId,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";
import { FakeRunTimes } from "./fake_run_times.ts";

const WHOLE = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };
const SPEEDS = [1.6, 1, 0.6];
const urgent = makeQueue({
  name: "urgent",
  priority: 0,
  stretch: 1.5,
  targetLatencyMs: 250,
});
const bulk = makeQueue({ name: "bulk", stretch: 2.2, targetLatencyMs: 1_000 });
const sweep = makeQueue({
  name: "sweep",
  priority: 2,
  stretch: 4,
  targetLatencyMs: 3_000,
});

/**
 * A cell of whose endpoints a third each has a speed of 1.6, 1 and 0.6: `e0`, `e3` and
 * so on are the fastest. Runs of jobs take as long as estimated, divided by the speed.
 */
function openUnevenCell(
  options: { endpoints?: number; policies?: Partial<PolicyNames> } = {},
) {
  const policies = { choice: ChoiceName.Speed, ...options.policies };
  const site = new CellSite({ endpoints: options.endpoints ?? 9, policies });
  const runTimes = new FakeRunTimes();
  for (const [index, id] of [...site.endpoints.keys()].entries()) {
    runTimes.speeds.set(id, SPEEDS[index % 3]);
  }
  const trueSpeeds = new Map(runTimes.speeds);
  site.cell.state.runTimes = runTimes;
  const speedsOf = new Map<string, number[]>();
  site.endRule = ({ task, endpoint }) => {
    const job = getJobId(task);
    const speed = trueSpeeds.get(endpoint) ?? 1;
    speedsOf.set(job, [...speedsOf.get(job) ?? [], speed]);
    const spec = site.cell.state.jobs.get(job)?.spec;
    const estimateMs = spec?.steps[0].estimateMs ?? 0;
    return { afterMs: estimateMs / speed, endKind: EndKind.Done };
  };
  site.pollIntervalMs = 20;
  site.advance(300);
  return { site, runTimes, speedsOf };
}

// Load of deployment A: with all endpoints equal, two urgent tasks in three start where
// they are late.
test("an uneven service: urgent tasks take the fastest endpoints, others the slowest that meet their deadline", (t) => {
  const { site, speedsOf } = openUnevenCell();
  const short = makeStep({ tasks: 3, estimateMs: 850, demand: WHOLE });
  site.submit(makeJob("fast", [short], { queue: urgent }));
  const long = makeStep({ tasks: 3, estimateMs: 2_300, demand: WHOLE });
  site.submit(makeJob("slow", [long], { queue: sweep }));
  const tight = { ...sweep, stretch: 1, targetLatencyMs: 500 };
  site.submit(makeJob("middle", [long], { queue: tight }));
  site.advance(100);
  t.deepEqual(speedsOf.get("fast"), [1.6, 1.6, 1.6]);
  t.deepEqual(speedsOf.get("slow"), [0.6, 0.6, 0.6]);
  t.deepEqual(speedsOf.get("middle"), [1, 1, 1]);
});

test("an uneven service: advice is asked first about the endpoints that a stage belongs on", (t) => {
  const { site } = openUnevenCell({ endpoints: 120 });
  const named: string[] = [];
  site.isEndpointAllowed = (endpoint) => named.push(endpoint) > 0;
  const speedsNamed = () =>
    new Set(named.map((id) => site.cell.state.runTimes.getSpeed(id, 0)));
  const step = makeStep({ tasks: 3, estimateMs: 850 });
  const advice = TICKETS;
  site.submit(makeJob("a", [step], { queue: { ...urgent, advice } }));
  site.advance(200);
  t.deepEqual(speedsNamed(), new Set([1.6]));
  named.length = 0;
  site.submit(makeJob("b", [step], { queue: { ...sweep, advice } }));
  site.advance(200);
  t.deepEqual(speedsNamed(), new Set([0.6]));
});

test("an uneven service: a gang takes the fastest endpoints that hold it, and of these the slowest first", (t) => {
  const { site, speedsOf } = openUnevenCell();
  const gang = makeStep({
    tasks: 4,
    gang: true,
    demand: WHOLE,
    estimateMs: 5_000,
  });
  site.submit(makeJob("a", [gang], { queue: bulk }));
  site.advance(100);
  t.deepEqual(speedsOf.get("a")?.sort(), [1, 1, 1, 1.6]);
  t.deepEqual(site.checker.violations, []);
});

/** Fills all endpoints but the slow ones with runs of `ms`, then submits urgent work. */
function submitBesideLongRuns(ms: number, restMs?: number) {
  const cell = openUnevenCell();
  const { site, runTimes } = cell;
  const step = makeStep({ tasks: 6, estimateMs: ms, demand: WHOLE });
  // With this deadline, the work runs on any endpoint but the slow ones.
  const queue = makeQueue({ priority: 2, stretch: 1, targetLatencyMs: 300 });
  site.submit(makeJob("long", [step], { queue }));
  site.advance(150);
  runTimes.restMs = restMs;
  const short = makeStep({ estimateMs: 850, demand: WHOLE });
  site.submit(makeJob("short", [short], { queue: urgent }));
  return cell;
}

test("urgent work that fits only on slow endpoints starts there if waiting would make it later", (t) => {
  const { site, speedsOf } = submitBesideLongRuns(20_000);
  site.advance(60);
  t.deepEqual(speedsOf.get("short"), [0.6]);
});

test("urgent work that would be late on a slow endpoint waits for a fast one that is free soon", (t) => {
  const { site, speedsOf } = submitBesideLongRuns(700);
  site.advance(60);
  t.is(speedsOf.get("short"), undefined);
  site.advance(1_000);
  t.deepEqual(speedsOf.get("short"), [1.6]);
});

// Guards against urgent work that never starts because a wrong model promises room.
test("urgent work waits for fast endpoints for no longer than these can gain", (t) => {
  const { site, speedsOf } = submitBesideLongRuns(20_000, 0);
  const gainMs = 850 / 0.6 - 850 / 1.6;
  site.advance(gainMs + 60);
  t.deepEqual(speedsOf.get("short"), [0.6]);
});

function listPlacements(choice: ChoiceName): string {
  const { site, runTimes } = openUnevenCell({ policies: { choice } });
  runTimes.areUneven = false;
  submitMixedJobs(site);
  return JSON.stringify(site.journal);
}

function submitMixedJobs(site: CellSite): string[] {
  const ids: string[] = [];
  for (let n = 0; n < 12; n++) {
    const gang = n % 4 === 0;
    const queue = [urgent, bulk, sweep][n % 3];
    const advice = n % 2 === 0 ? TICKETS : undefined;
    const step = makeStep({ tasks: 3, gang, estimateMs: 400 });
    const { length } = ids;
    site.submit(makeJob(`j${length}`, [step], { queue: { ...queue, advice } }));
    ids.push(`j${length}`);
    site.advance(70);
  }
  return ids;
}

// Guards against a change of deployments whose endpoints are alike.
test("an even service is placed as with the fullest choice", (t) => {
  t.is(listPlacements(ChoiceName.Speed), listPlacements(ChoiceName.Fullest));
});

for (const error of [0.1, 10, Number.NaN]) {
  test(`wrong speeds and run times (factor ${error}): every job completes, no invariant breaks`, (t) => {
    const { site, runTimes } = openUnevenCell();
    runTimes.error = error;
    for (const [id, speed] of runTimes.speeds) {
      runTimes.speeds.set(id, speed === 1 ? Number.NaN : 1 / speed);
    }
    const ids = submitMixedJobs(site);
    site.replaceOwner();
    site.cell.state.runTimes = runTimes;
    site.advance(30_000);
    t.deepEqual(
      new Set(ids.map((id) => site.find(id))),
      new Set([JobState.Completed]),
    );
    t.deepEqual(site.checker.violations, []);
  });
}

/**
 * A gang with tickets for all endpoints, which are full. At one moment the slow ones
 * become free, and so do the fast ones, by a restart that makes their tickets invalid.
 */
function submitGangWithSlowTickets(targetLatencyMs: number) {
  const cell = openUnevenCell();
  const { site, speedsOf } = cell;
  const { endRule } = site;
  site.endRule = (run, random) => {
    if (getJobId(run.task) !== "long") return endRule(run, random);
    const isSlow = cell.runTimes.getSpeed(run.endpoint) === 0.6;
    return { afterMs: isSlow ? 600 : 60_000, endKind: EndKind.Done };
  };
  const long = makeStep({ tasks: 9, estimateMs: 60_000, demand: WHOLE });
  site.submit(makeJob("long", [long], { queue: sweep }));
  site.advance(400);
  const gang = makeStep({
    tasks: 3,
    gang: true,
    demand: WHOLE,
    estimateMs: 5_000,
  });
  const queue = { ...bulk, stretch: 1, targetLatencyMs, advice: TICKETS };
  site.submit(makeJob("gang", [gang], { queue }));
  const slow = [...site.endpoints.values()].filter(({ id }) =>
    cell.runTimes.getSpeed(id) === 0.6
  );
  while (slow.some(({ runs }) => runs.size > 0)) site.advance(10);
  for (const fake of site.endpoints.values()) {
    if (cell.runTimes.getSpeed(fake.id) === 1.6) fake.restart(site.now);
  }
  site.advance(200);
  return speedsOf.get("gang");
}

test("a gang with tickets for slow endpoints only starts there if it is in time", (t) => {
  t.deepEqual(submitGangWithSlowTickets(20_000), [0.6, 0.6, 0.6]);
});

test("a gang that would be late on the endpoints of its tickets asks about faster ones", (t) => {
  t.deepEqual(submitGangWithSlowTickets(1_000), [1.6, 1.6, 1.6]);
});

// Guards against urgent work that is late on the endpoints that had room when it asked.
test("urgent work with tickets for slow endpoints only asks about fast ones that became free", (t) => {
  const { site, speedsOf, runTimes } = openUnevenCell({ endpoints: 120 });
  site.adviceMs = 60;
  const { endRule } = site;
  site.endRule = (run, random) =>
    getJobId(run.task) === "long"
      ? { afterMs: 500, endKind: EndKind.Done }
      : endRule(run, random);
  const tight = makeQueue({ priority: 2, stretch: 1, targetLatencyMs: 300 });
  const long = makeStep({ tasks: 80, estimateMs: 500, demand: WHOLE });
  site.submit(makeJob("long", [long], { queue: tight }));
  site.advance(490);
  const short = makeStep({ tasks: 3, estimateMs: 850, demand: WHOLE });
  const queue = { ...urgent, advice: TICKETS };
  site.submit(makeJob("short", [short], { queue }));
  const [stage] = site.cell.state.jobs.get("short")?.stages ?? [];
  site.advance(150);
  const asked = [...stage.advice.askedEndpoints]
    .map((id) => runTimes.getSpeed(id));
  t.deepEqual(new Set(asked), new Set([0.6, 1.6]));
  t.deepEqual(speedsOf.get("short"), [1.6, 1.6, 1.6]);
});
