import test from "ava";
import { StallsName } from "../../packages/cell/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";
import type { FakeRun } from "./fake_endpoint.ts";

/** Time without progress after which a run of normal pace is stopped, in ms. */
const DETECTION_MS = 2_500;

/** Run time of a task, and of the slowest member of a gang, in milliseconds. */
const RUN_MS = 5_300;

const WHOLE_ENDPOINT = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };

const GANG = makeStep({
  tasks: 3,
  gang: true,
  demand: WHOLE_ENDPOINT,
  estimateMs: RUN_MS,
});

/**
 * Makes a site of endpoints with one place each. `runMs`: after which time runs end;
 * `partMs`: the time that the own part of a run takes; `getWorkedMs`: how long a run
 * has worked on it.
 */
function makeSite(options: {
  stalls: StallsName;
  endpoints: number;
  runMs?: number;
  partMs?: (run: FakeRun) => number;
  getWorkedMs?: (run: FakeRun, elapsedMs: number) => number;
}): CellSite {
  const { stalls, endpoints, runMs = RUN_MS } = options;
  const partMs = options.partMs ?? (() => runMs);
  const getWorkedMs = options.getWorkedMs ?? ((_run, elapsedMs) => elapsedMs);
  const site = new CellSite({ endpoints, policies: { stalls } });
  site.pollIntervalMs = 10;
  site.endRule = () => ({ afterMs: runMs, endKind: EndKind.Done });
  for (const endpoint of site.endpoints.values()) {
    endpoint.getPercent = (run) => {
      const elapsedMs = site.now - (run.endsAt - runMs);
      const share = getWorkedMs(run, elapsedMs) / partMs(run);
      return Math.min(99, Math.floor(share * 100));
    };
  }
  site.advance(200);
  return site;
}

/** Advances until a stop is ordered; returns the time since `from`. */
function advanceToStop(site: CellSite, from: number): number {
  const { stops } = site.calls;
  while (site.calls.stops === stops && site.now - from < 20_000) {
    site.advance(10);
  }
  return site.now - from;
}

function listFailures(site: CellSite): Record<string, number> {
  const failures: Record<string, number> = {};
  for (const { info, failuresInRow } of site.cell.state.endpoints.values()) {
    if (failuresInRow > 0) failures[info.id] = failuresInRow;
  }
  return failures;
}

function getIndex({ task }: FakeRun): number {
  return Number(task.slice(-1));
}

// Guards against a healthy gang that is stopped, and its endpoint charged with a
// failure, while the members that have done their part wait for the slowest.
test("a gang whose members differ in run time is stopped by fixed stalls and not by progress", (t) => {
  const cases = Object.values(StallsName).flatMap((stalls) =>
    [10, 1_000].map((pollIntervalMs) => [stalls, pollIntervalMs] as const)
  );
  for (const [stalls, pollIntervalMs] of cases) {
    const runMs = 9_000;
    const partMs = (run: FakeRun) => [4_500, 6_000, runMs][getIndex(run)];
    const site = makeSite({ stalls, endpoints: 3, runMs, partMs });
    site.pollIntervalMs = pollIntervalMs;
    site.submit(makeJob("a", [GANG]));
    site.advance(runMs + 500 + pollIntervalMs);
    const isProgress = stalls === StallsName.Progress;
    t.is(site.calls.stops > 0, !isProgress);
    t.is(site.find("a") === JobState.Completed, isProgress);
    t.is(Object.keys(listFailures(site)).length > 0, !isProgress);
    t.deepEqual(site.checker.violations, []);
  }
});

// Guards against a faulty endpoint that holds up a gang for longer than today, and
// against endpoints of the other members that are charged with its failure.
test("a member that halts is stopped within 2.5 s while the others work or wait at their end", (t) => {
  for (const otherPartMs of [3_000, RUN_MS]) {
    const haltedMs = 2_650;
    const site = makeSite({
      stalls: StallsName.Progress,
      endpoints: 4,
      partMs: (run) => getIndex(run) === 1 ? RUN_MS : otherPartMs,
      getWorkedMs: (run, elapsedMs) =>
        run.endpoint === faulty ? Math.min(elapsedMs, haltedMs) : elapsedMs,
    });
    let faulty = "";
    site.submit(makeJob("a", [GANG]));
    site.advance(100);
    const fake = site.findPlacement("a.0.0.1");
    faulty = fake.id;
    const [run] = fake.runs.values();
    const haltedAt = run.endsAt - RUN_MS + haltedMs;
    site.advance(haltedAt - site.now);
    t.true(advanceToStop(site, haltedAt) <= DETECTION_MS);
    t.deepEqual(listFailures(site), { [faulty]: 1 });
    site.advance(2 * RUN_MS);
    t.is(site.find("a"), JobState.Completed);
    t.false(fake.runs.has("a.0.0.1"));
    t.deepEqual(site.checker.violations, []);
  }
});

// Guards against a gang that never ends, and against endpoints that are charged with a
// failure although no one of them can be told from the others.
test("a gang of which no member makes progress is stopped as a whole, without a culprit", (t) => {
  const haltedMs = 2_650;
  let isHalted = true;
  const site = makeSite({
    stalls: StallsName.Progress,
    endpoints: 3,
    getWorkedMs: (_run, elapsedMs) =>
      isHalted ? Math.min(elapsedMs, haltedMs) : elapsedMs,
  });
  site.submit(makeJob("a", [GANG]));
  site.advance(100);
  const [run] = site.findPlacement("a.0.0.0").runs.values();
  const haltedAt = run.endsAt - RUN_MS + haltedMs;
  site.advance(haltedAt - site.now);
  t.true(advanceToStop(site, haltedAt) <= DETECTION_MS);
  t.deepEqual(listFailures(site), {});
  isHalted = false;
  site.advance(RUN_MS + 2_000);
  t.is(site.find("a"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a stall that is decided from a broken link: the progress behind it is
// not known, and the others may rightly wait for it.
test("a gang goes on while the endpoint of its slowest member cannot be polled", (t) => {
  const runMs = 9_000;
  const site = makeSite({
    stalls: StallsName.Progress,
    endpoints: 3,
    runMs,
    partMs: (run) => getIndex(run) === 2 ? runMs : 4_000,
  });
  site.submit(makeJob("a", [GANG]));
  site.advance(4_500);
  const slowest = site.findPlacement("a.0.0.2");
  slowest.isUnreachable = true;
  site.advance(3_500);
  slowest.isUnreachable = false;
  site.advance(runMs - 8_000 + 500);
  t.is(site.calls.stops, 0);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against long tasks that never end because one percent takes them longer than
// the time after which a run of normal pace is stalled, and against halted ones that
// are not found.
test("a run is stalled by its own pace: a slow one goes on, one of normal pace is stopped within 2.5 s", (t) => {
  const site = makeSite({
    stalls: StallsName.Progress,
    endpoints: 3,
    runMs: 9_000,
    partMs: (run) => run.task.startsWith("slow") ? 400_000 : RUN_MS,
    getWorkedMs: (run, elapsedMs) =>
      run.task.startsWith("halted") ? Math.min(elapsedMs, 530) : elapsedMs,
  });
  const normal = makeStep({ demand: WHOLE_ENDPOINT, estimateMs: RUN_MS });
  const slow = makeStep({ demand: WHOLE_ENDPOINT, estimateMs: 400_000 });
  site.submit(makeJob("halted", [normal]));
  site.submit(makeJob("slow", [slow]));
  site.advance(100);
  const fake = site.findPlacement("halted.0.0.0");
  const [run] = fake.runs.values();
  const haltedAt = run.endsAt - 9_000 + 530;
  site.advance(haltedAt - site.now + 1_000);
  const { stallCheckAt } = site.cell.state.endpoints.get(fake.id)!;
  t.is(stallCheckAt, haltedAt + DETECTION_MS);
  t.true(advanceToStop(site, haltedAt) <= DETECTION_MS);
  t.deepEqual(listFailures(site), { [fake.id]: 1 });
  site.advance(9_000 - 530 - DETECTION_MS + 300);
  t.is(site.find("slow"), JobState.Completed);
});

// Guards against a slow run that is stopped because the jump to its checkpoint, in the
// first second, counted as its pace.
test("a slow run that resumes from a checkpoint is not stalled by the jump to it", (t) => {
  const runMs = 12_000;
  const site = makeSite({
    stalls: StallsName.Progress,
    endpoints: 1,
    runMs,
    partMs: () => 400_000,
    getWorkedMs: (_run, elapsedMs) =>
      elapsedMs < 600 ? 0 : 200_000 + elapsedMs - 600,
  });
  const slow = makeStep({ checkpointing: true, estimateMs: 400_000 });
  site.submit(makeJob("a", [slow]));
  site.advance(runMs + 300);
  t.is(site.calls.stops, 0);
  t.is(site.find("a"), JobState.Completed);
});
