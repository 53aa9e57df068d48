import process from "node:process";
import test from "ava";
import { SeededRandom } from "../../packages/base/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeQueue, makeStep, TICKETS } from "./cell_site.ts";
import { CrashSite, Return } from "./crash_site.ts";

/** More seeds by hand: `SERIES_FIRST_SEED=1 SERIES_SEEDS=40`. */
const FIRST_SEED = Number(process.env.SERIES_FIRST_SEED ?? 11);
const SEEDS = Array.from(
  { length: Number(process.env.SERIES_SEEDS ?? 2) },
  (_, index) => FIRST_SEED + index,
);

/** Time in which all work must be done after the last restart, in ms. */
const FINISH_MS = 14_000;

const ENDPOINTS = 33;
const SHORT = makeQueue({ name: "short", priority: 2, advice: TICKETS });
const BATCH = makeQueue({ name: "batch", advice: TICKETS });

/** A series of restarts of some endpoints, behind cuts of 1.5 s. */
interface Series {
  /** Endpoints that are lost in each step. */
  endpoints: number;
  gapMs: number;
  steps: number;
  returnsAs: Return;
}

/**
 * Plays a series under short tasks and batches; returns the jobs by their state.
 * `badStep`: when a job is submitted whose task crashes its endpoints.
 */
function playSeries(seed: number, series: Series, badStep?: number) {
  const site = new CrashSite({
    endpoints: ENDPOINTS,
    seed,
    capacity: { milliCores: 32_000, memoryMb: 128_000, accelerators: 0 },
  });
  const random = new SeededRandom(seed);
  site.returnsAs = series.returnsAs;
  site.backAfterMs = 1_500;
  site.endRule = ({ task }, times) => ({
    endKind: EndKind.Done,
    afterMs: (task.startsWith("short") ? 640 : 3_400) *
      (0.5 + times.drawFloat()),
  });
  site.isDeadly = (task) => task.startsWith("bad");
  site.watchStarts();
  site.advance(300);
  const ids: string[] = [];
  const submitFor = (ms: number) => {
    for (let elapsed = 0; elapsed < ms; elapsed += 50) {
      const isShort = random.drawInt(10) > 0;
      const id = `${isShort ? "short" : "batch"}${ids.length}`;
      ids.push(id);
      const step = makeStep({ tasks: isShort ? 2 : 10 });
      site.submit(makeJob(id, [step], { queue: isShort ? SHORT : BATCH }));
      site.advance(50);
    }
  };
  submitFor(2_000);
  for (let step = 0; step < series.steps; step++) {
    if (step === badStep) {
      site.submit(makeJob("bad", [makeStep()], { queue: SHORT }));
    }
    for (let n = 0; n < series.endpoints; n++) {
      const up = [...site.endpoints.values()].filter((fake) =>
        !fake.isUnreachable
      );
      site.crash(up[random.drawInt(up.length)].id);
    }
    submitFor(series.gapMs);
  }
  site.advance(FINISH_MS);
  const states = ids.map((id): [string, JobState | undefined] => [
    id,
    site.find(id),
  ]);
  return {
    site,
    failed: states.filter(([, state]) => state === JobState.Failed),
    unfinished: states.filter(([, state]) =>
      state !== JobState.Failed && state !== JobState.Completed
    ),
  };
}

const SERIES: [string, Series][] = [
  ["a sixth of the endpoints each second", {
    endpoints: 6,
    gapMs: 1_000,
    steps: 38,
    returnsAs: Return.SameId,
  }],
  ["a sixth of the endpoints each second, back under new ids", {
    endpoints: 6,
    gapMs: 1_000,
    steps: 38,
    returnsAs: Return.NewId,
  }],
  ["single endpoints, one after the other", {
    endpoints: 1,
    gapMs: 200,
    steps: 150,
    returnsAs: Return.SameId,
  }],
];

for (const [name, series] of SERIES) {
  // Guards against healthy tasks that pay for restarts which they did not cause: their jobs
  // are given up, or they wait for trials that come slower than further restarts (LOST).
  test(`endpoints restart in series, ${name}: no job fails, and all are done in time`, (t) => {
    for (const seed of SEEDS) {
      const { site, failed, unfinished } = playSeries(seed, series);
      t.log({ seed, crashes: site.crashes.length });
      t.deepEqual({ seed, failed, unfinished }, {
        seed,
        failed: [],
        unfinished: [],
      });
      t.deepEqual(site.checker.violations, []);
    }
  });

  // Guards against a bad task that hides among such restarts and is started without end:
  // three times more after it crashed three endpoints (BUDGET).
  test(`endpoints restart in series, ${name}: a task that crashes its endpoints is given up`, (t) => {
    for (const seed of SEEDS) {
      const { site, failed, unfinished } = playSeries(seed, series, 5);
      t.log({ seed, crashedByTask: site.countCrashes("bad.0.0.0") });
      t.is(site.find("bad"), JobState.Failed);
      t.true(site.countCrashes("bad.0.0.0") <= 5);
      t.deepEqual({ seed, failed, unfinished }, {
        seed,
        failed: [],
        unfinished: [],
      });
    }
  });
}
