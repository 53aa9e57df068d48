import process from "node:process";
import test from "ava";
import { SeededRandom } from "../../packages/base/mod.ts";
import { mayStillStart } from "../../packages/cell/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "./cell_site.ts";
import { countStartsInA, evacuate, makeTwoDomains } from "./evacuation_site.ts";

const FIRST_SEED = Number(process.env.EVACUATION_FIRST_SEED ?? 1);
const SEED_COUNT = Number(process.env.EVACUATION_SEEDS ?? 30);
const STEPS_PER_SEED = 60;

/**
 * Runs random jobs while domain `a` is evacuated and used again, answers to starts are
 * lost, endpoints restart or become unreachable and the owner is replaced. Returns the
 * starts in the domain while its evacuation was effective, and the unfinished jobs.
 */
function runRandomEvacuations(seed: number) {
  const random = new SeededRandom(seed);
  const site = makeTwoDomains({ seed: seed + 1, endpoints: 6 });
  site.lostStartRatio = 0.1;
  site.endRule = (_, siteRandom) => ({
    afterMs: 50 + siteRandom.drawInt(1_500),
    endKind: siteRandom.drawFloat() < 0.05 ? EndKind.Failed : EndKind.Done,
  });
  const fakes = [...site.endpoints.values()];
  let domains: string[] = [];
  let startsWhenEffective: number | undefined;
  let effectiveCount = 0;
  const wrongStarts: number[] = [];
  const advance = (ms: number) => {
    for (const until = site.now + ms; site.now < until;) {
      site.advance(50);
      const starts = countStartsInA(site);
      if (startsWhenEffective !== undefined) {
        if (starts > startsWhenEffective) wrongStarts.push(site.now);
        continue;
      }
      const { state } = site.cell;
      const isEffective = domains.includes("a") &&
        !mayStillStart(state, { domain: "a", now: site.now });
      if (!isEffective) continue;
      startsWhenEffective = starts;
      effectiveCount++;
    }
  };
  const setDomains = (...names: string[]) => {
    domains = names;
    evacuate(site, ...names);
    if (!names.includes("a")) startsWhenEffective = undefined;
  };
  for (let n = 0; n < STEPS_PER_SEED; n++) {
    site.submit(makeJob(`j${n}`, [
      makeStep({ tasks: 1 + random.drawInt(6) }),
      makeStep({
        tasks: 1 + random.drawInt(3),
        after: [0],
        gang: random.drawFloat() < 0.3,
        checkpointing: true,
        estimateMs: 20_000,
      }),
    ]));
    advance(random.drawInt(400));
    const endpoint = fakes[random.drawInt(fakes.length)];
    const action = random.drawInt(9);
    if (action === 0) {
      site.replaceOwner({ isListLate: random.drawFloat() < 0.5 });
      evacuate(site, ...domains);
      advance(100);
      site.applyEndpointList();
    } else if (action === 1) endpoint.restart(site.now);
    else if (action === 2) endpoint.isUnreachable = true;
    else if (action === 3) {
      for (const fake of fakes) fake.isUnreachable = false;
    } else if (action === 4) setDomains("a");
    else if (action === 5) setDomains("a", "b");
    else if (action === 6) setDomains();
  }
  for (const fake of fakes) fake.isUnreachable = false;
  site.lostStartRatio = 0;
  setDomains("a");
  advance(30_000);
  setDomains();
  advance(30_000);
  const unfinished = Array.from({ length: STEPS_PER_SEED }, (_, n) => `j${n}`)
    .filter((id) =>
      [JobState.Pending, JobState.Running].includes(site.find(id)!)
    );
  return { site, wrongStarts, unfinished, effectiveCount };
}

// Guards against a domain that is reported as free of starts and gets one, and against
// evacuations that break an invariant or lose a job.
test("nothing starts in a domain while its evacuation is effective, under random faults", (t) => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
    const result = runRandomEvacuations(seed);
    t.deepEqual(result.wrongStarts, [], `seed ${seed}`);
    t.deepEqual(result.site.checker.violations, [], `seed ${seed}`);
    t.deepEqual(result.unfinished, [], `seed ${seed}`);
    t.true(result.effectiveCount > 0, `seed ${seed}`);
  }
});
