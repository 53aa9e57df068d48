import process from "node:process";
import test from "ava";
import { SeededRandom } from "../../packages/base/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeQueue, makeStep } from "./cell_site.ts";
import { CrashSite, Return } from "./crash_site.ts";

/** More seeds by hand: `CRASH_FIRST_SEED=1 CRASH_SEEDS=40`. */
const FIRST_SEED = Number(process.env.CRASH_FIRST_SEED ?? 7);
const SEEDS = Array.from(
  { length: Number(process.env.CRASH_SEEDS ?? 3) },
  (_, index) => FIRST_SEED + index,
);

/** Plays waves of crashes under short work; returns the jobs that failed. */
function playWaves(
  seed: number,
  options: {
    share: number;
    waves: number;
    gapMs: number;
    returnsAs: Return;
    isByRack?: boolean;
  },
): { site: CrashSite; failed: string[]; unfinished: string[] } {
  const site = new CrashSite({ endpoints: 20, seed, afterMs: 600 });
  const random = new SeededRandom(seed);
  site.returnsAs = options.returnsAs;
  site.watchStarts();
  site.describeEndpoint = (id) => ({
    labels: [],
    rack: `r${Number(id.slice(1)) % 4}`,
  });
  site.applyEndpointList();
  site.advance(300);
  const ids: string[] = [];
  const submitFor = (ms: number) => {
    for (let elapsed = 0; elapsed < ms; elapsed += 50) {
      const id = `j${ids.length}`;
      ids.push(id);
      const step = makeStep({ tasks: 1 + random.drawInt(4) });
      const name = `q${random.drawInt(3)}`;
      site.submit(makeJob(id, [step], { queue: makeQueue({ name }) }));
      site.advance(50);
    }
  };
  submitFor(2_000);
  for (let wave = 0; wave < options.waves; wave++) {
    const rack = `r${random.drawInt(4)}`;
    for (const id of [...site.endpoints.keys()]) {
      const isHit = options.isByRack
        ? site.describeEndpoint(id).rack === rack
        : random.drawFloat() < options.share;
      if (isHit) site.crash(id);
    }
    submitFor(options.gapMs);
  }
  site.advance(40_000);
  const listBy = (states: (JobState | undefined)[]) =>
    ids.filter((id) => states.includes(site.find(id)));
  return {
    site,
    failed: listBy([JobState.Failed]),
    unfinished: listBy([JobState.Pending, JobState.Running]),
  };
}

// Guards against jobs that are given up because many endpoints crash at once.
for (const share of [0.15, 0.4]) {
  for (const returnsAs of [Return.SameId, Return.NewId]) {
    test(`${share * 100}% of the endpoints crash at once, five times, back as ${returnsAs}: no job fails`, (t) => {
      for (const seed of SEEDS) {
        const { site, failed, unfinished } = playWaves(seed, {
          share,
          waves: 5,
          gapMs: 4_500,
          returnsAs,
        });
        t.deepEqual({ seed, failed, unfinished }, {
          seed,
          failed: [],
          unfinished: [],
        });
        t.deepEqual(site.checker.violations, []);
      }
    });
  }
}

// Guards against jobs that are given up because a rack crashes, and crashes again as
// soon as suspects are tried.
for (const gapMs of [500, 4_000, 4_500, 5_000]) {
  test(`a rack crashes at once, five times with ${gapMs} ms between: no job fails`, (t) => {
    for (const seed of SEEDS) {
      const { failed, unfinished } = playWaves(seed, {
        share: 0,
        waves: 5,
        gapMs,
        returnsAs: Return.NewId,
        isByRack: true,
      });
      t.deepEqual({ seed, failed, unfinished }, {
        seed,
        failed: [],
        unfinished: [],
      });
    }
  });
}
