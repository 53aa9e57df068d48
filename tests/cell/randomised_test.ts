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
