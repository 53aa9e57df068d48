import test from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { SeededRandom } from "../../packages/base/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

const RUNS = 40;
const JOBS = 25;
const CAP = { milliCores: 20_000, memoryMb: 20_000, accelerators: 0 };

/** Runs jobs of all shapes under lost answers, restarts, cuts and owners. */
function runPath(seed: number): { site: CellSite; unfinished: string[] } {
  const random = new SeededRandom(seed);
  const site = new CellSite({ seed: seed + 1, endpoints: 4 });
  site.checker.setCap(CAP);
  site.lostPart = 0.1;
  site.endRule = (_, draw) => ({
    afterMs: 50 + draw.drawInt(1_500),
    how: draw.drawFloat() < 0.05 ? EndKind.Failed : EndKind.Done,
  });
  const fakes = [...site.endpoints.values()];
  const setCap = () =>
    site.cell.updateOrganisations([{ name: "norte", weight: 9, cap: CAP }]);
  setCap();
  for (let n = 0; n < JOBS; n++) {
    site.submit(makeJob(`j${n}`, [
      makeStep({ tasks: 1 + random.drawInt(6) }),
      makeStep({ tasks: 1 + random.drawInt(3), after: [0] }),
    ]));
    site.advance(random.drawInt(400));
    const fake = fakes[random.drawInt(fakes.length)];
    const fault = random.drawInt(8);
    if (fault === 0) {
      site.replaceOwner();
      setCap();
    } else if (fault === 1) fake.restart(site.now);
    else if (fault === 2) fake.isCut = true;
    else if (fault === 3) { for (const each of fakes) each.isCut = false; }
    else if (fault === 4) site.takeSnapshot();
  }
  for (const each of fakes) each.isCut = false;
  site.lostPart = 0;
  site.advance(60_000);
  const unfinished: string[] = [];
  for (let n = 0; n < JOBS; n++) {
    const state = site.find(`j${n}`);
    const hasEnded = state === JobState.Completed || state === JobState.Failed;
    // A job whose commit was lost with its owner was never accepted.
    if (state !== undefined && !hasEnded) unfinished.push(`j${n}: ${state}`);
  }
  return { site, unfinished };
}

test("no rule breaks under lost orders, restarts, cuts and new owners", (t) => {
  for (let seed = 1; seed <= RUNS; seed++) {
    const { site, unfinished } = runPath(seed);
    t.deepEqual(site.checker.faults, [], `seed ${seed}`);
    t.deepEqual(unfinished, [], `seed ${seed}`);
  }
});

/** Services and filling work under strain, closings, stops and new owners. */
function runSharedPath(seed: number): { site: CellSite; mostStopping: number } {
  const random = new SeededRandom(seed);
  const site = new CellSite({ seed, endpoints: 5, afterMs: 600_000 });
  const fakes = [...site.endpoints.values()];
  for (const fake of fakes) {
    fake.percentOf = (run) => run.task.startsWith("desk") ? 100 : 10;
    fake.gaugeOf = () => 20 + random.drawInt(120);
  }
  const desk = makeStep({
    tasks: 4,
    longRunning: true,
    targetMs: 100,
    maxAway: 1,
    maxPerEndpoint: 1,
  });
  const fill = makeStep({ tasks: 6, isFilling: true });
  site.submit(makeJob("desk", [desk]));
  site.submit(makeJob("fill", [fill]));
  site.advance(1_000);
  let mostStopping = 0;
  for (let n = 0; n < 40; n++) {
    const { id } = fakes[random.drawInt(fakes.length)];
    const action = random.drawInt(5);
    if (action === 0) site.cell.setCordoned(new Set([id]));
    else if (action === 1) site.cell.stopRunsOn(id, site.present);
    else if (action === 2) site.cell.setCordoned(new Set());
    else if (action === 3 && n % 4 === 0) site.replaceOwner();
    mostStopping = Math.max(mostStopping, countStopping(site));
    site.advance(100 + random.drawInt(600));
  }
  site.cell.setCordoned(new Set());
  for (const fake of fakes) fake.gaugeOf = () => 10;
  site.advance(20_000);
  return { site, mostStopping };
}

function countStopping(site: CellSite): number {
  return [...site.cell.state.stoppingRuns].filter(({ task }) =>
    task.startsWith("desk")
  ).length;
}

test("services and filling work keep all rules, and all run in the end", (t) => {
  for (let seed = 1; seed <= RUNS; seed++) {
    const { site, mostStopping } = runSharedPath(seed);
    t.deepEqual(site.checker.faults, [], `seed ${seed}`);
    t.true(mostStopping <= 1, `seed ${seed}: ${mostStopping} taken away`);
    const runs = [...site.endpoints.values()].flatMap((fake) => [
      ...fake.runs.values(),
    ]);
    t.is(runs.length, 10, `seed ${seed}`);
    t.true(runs.every(({ pace }) => pace === 100), `seed ${seed}: still slow`);
  }
});
