import test from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { SeededRandom } from "../../packages/base/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

const SEED_COUNT = 40;
const JOBS_PER_SEED = 25;
const QUOTA = { milliCores: 20_000, memoryMb: 20_000, accelerators: 0 };

/**
 * Runs random jobs while answers to start orders are lost, endpoints restart or
 * become unreachable, snapshots are taken and the owner is replaced. Then stops
 * all faults, waits and lists the jobs that have not ended.
 */
function runRandomFaults(
  seed: number,
): { site: CellSite; unfinished: string[] } {
  const random = new SeededRandom(seed);
  const site = new CellSite({ seed: seed + 1, endpoints: 4 });
  site.checker.setQuota(QUOTA);
  site.lostStartRatio = 0.1;
  site.endRule = (_, siteRandom) => ({
    afterMs: 50 + siteRandom.drawInt(1_500),
    endKind: siteRandom.drawFloat() < 0.05 ? EndKind.Failed : EndKind.Done,
  });
  const fakes = [...site.endpoints.values()];
  const setQuota = () =>
    site.cell.updateOrganisations([{ name: "norte", weight: 9, cap: QUOTA }]);
  setQuota();
  for (let n = 0; n < JOBS_PER_SEED; n++) {
    site.submit(makeJob(`j${n}`, [
      makeStep({ tasks: 1 + random.drawInt(6) }),
      makeStep({ tasks: 1 + random.drawInt(3), after: [0] }),
    ]));
    site.advance(random.drawInt(400));
    const endpoint = fakes[random.drawInt(fakes.length)];
    const fault = random.drawInt(8);
    if (fault === 0) {
      site.replaceOwner();
      setQuota();
    } else if (fault === 1) endpoint.restart(site.now);
    else if (fault === 2) endpoint.isUnreachable = true;
    else if (fault === 3) {
      for (const fake of fakes) fake.isUnreachable = false;
    } else if (fault === 4) site.takeSnapshot();
  }
  for (const fake of fakes) fake.isUnreachable = false;
  site.lostStartRatio = 0;
  site.advance(60_000);
  const unfinished: string[] = [];
  for (let n = 0; n < JOBS_PER_SEED; n++) {
    const state = site.find(`j${n}`);
    const hasEnded = state === JobState.Completed || state === JobState.Failed;
    // A job has no state if the owner was replaced before it was committed.
    if (state !== undefined && !hasEnded) unfinished.push(`j${n}: ${state}`);
  }
  return { site, unfinished };
}

test("invariants hold and all jobs end under random faults", (t) => {
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const { site, unfinished } = runRandomFaults(seed);
    t.deepEqual(site.checker.violations, [], `seed ${seed}`);
    t.deepEqual(unfinished, [], `seed ${seed}`);
  }
});

/**
 * Runs serving and best-effort tasks on the same endpoints while tail latencies
 * vary, endpoints are cordoned, runs are stopped and the owner is replaced.
 * `maxStopping` is the highest number of serving runs stopping at one time.
 */
function runColocatedWorkload(
  seed: number,
): { site: CellSite; maxStopping: number } {
  const random = new SeededRandom(seed);
  const site = new CellSite({ seed, endpoints: 5, afterMs: 600_000 });
  const fakes = [...site.endpoints.values()];
  for (const fake of fakes) {
    fake.getPercent = (run) => run.task.startsWith("desk") ? 100 : 10;
    fake.getGauge = () => 20 + random.drawInt(120);
  }
  const servingStep = makeStep({
    tasks: 4,
    longRunning: true,
    targetMs: 100,
    maxAway: 1,
    maxPerEndpoint: 1,
  });
  const bestEffortStep = makeStep({ tasks: 6, isFilling: true });
  site.submit(makeJob("desk", [servingStep]));
  site.submit(makeJob("fill", [bestEffortStep]));
  site.advance(1_000);
  let maxStopping = 0;
  for (let n = 0; n < 40; n++) {
    const { id } = fakes[random.drawInt(fakes.length)];
    const action = random.drawInt(5);
    if (action === 0) site.cell.setCordoned(new Set([id]));
    else if (action === 1) site.cell.stopRunsOn(id, site.time);
    else if (action === 2) site.cell.setCordoned(new Set());
    else if (action === 3 && n % 4 === 0) site.replaceOwner();
    maxStopping = Math.max(maxStopping, countStoppingServingRuns(site));
    site.advance(100 + random.drawInt(600));
  }
  site.cell.setCordoned(new Set());
  for (const fake of fakes) fake.getGauge = () => 10;
  site.advance(20_000);
  return { site, maxStopping };
}

function countStoppingServingRuns(site: CellSite): number {
  return [...site.cell.state.stoppingRuns].filter(({ task }) =>
    task.startsWith("desk")
  ).length;
}

test("invariants hold and all tasks run again under co-location", (t) => {
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const { site, maxStopping } = runColocatedWorkload(seed);
    t.deepEqual(site.checker.violations, [], `seed ${seed}`);
    t.true(maxStopping <= 1, `seed ${seed}: ${maxStopping} stopping at once`);
    const runs = [...site.endpoints.values()].flatMap((fake) => [
      ...fake.runs.values(),
    ]);
    t.is(runs.length, 10, `seed ${seed}`);
    t.true(
      runs.every(({ pace }) => pace === 100),
      `seed ${seed}: still throttled`,
    );
  }
});
