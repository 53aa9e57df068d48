import test from "ava";
import { type Random, SeededRandom } from "../../packages/base/mod.ts";
import {
  ChoiceName,
  HeadroomName,
  OrderName,
  PreemptionName,
} from "../../packages/cell/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";
import { FakeRunTimes } from "./fake_run_times.ts";

const SEED_COUNT = 30;
const JOBS_PER_SEED = 40;
const ERRORS = [0.1, 1, 10];

/** Makes run times that are wrong by a factor, with speeds that change. */
function makeWrongRunTimes(random: Random): FakeRunTimes {
  const runTimes = new FakeRunTimes();
  runTimes.error = ERRORS[random.drawInt(ERRORS.length)];
  runTimes.getSpeed = () => 0.2 + 3 * random.drawFloat();
  runTimes.isUneven = () => random.drawFloat() < 0.8;
  return runTimes;
}

function makeRandomJob(
  id: string,
  { random, hasAdvice }: { random: Random; hasAdvice: boolean },
) {
  const advice = hasAdvice ? TICKETS : undefined;
  const step = makeStep({
    tasks: 1 + random.drawInt(6),
    gang: random.drawFloat() < 0.3,
    checkpointing: random.drawFloat() < 0.5,
    estimateMs: 200 + random.drawInt(2_000),
    demand: {
      milliCores: 500 + random.drawInt(3_000),
      memoryMb: 100,
      accelerators: 0,
    },
  });
  const queue = makeQueue({
    priority: random.drawInt(3),
    attempts: 50,
    targetLatencyMs: 1_500,
    advice,
  });
  return makeJob(id, [step], { queue });
}

/** Runs random jobs under faults and wrong run times, with every policy enabled. */
function runRandomFaults(seed: number) {
  const random = new SeededRandom(seed);
  const site = new CellSite({
    seed: seed + 1,
    endpoints: 5,
    policies: {
      choice: ChoiceName.Speed,
      order: OrderName.Learned,
      headroom: HeadroomName.Learned,
      preemption: PreemptionName.Urgent,
    },
  });
  const runTimes = makeWrongRunTimes(random);
  site.cell.state.runTimes = runTimes;
  // Fake endpoints do not check tickets, and would carry out starts with a ticket late.
  const hasAdvice = seed % 2 === 0;
  site.lostStartRatio = hasAdvice ? 0 : 0.05;
  site.endRule = (_, siteRandom) => ({
    afterMs: 50 + siteRandom.drawInt(3_000),
    endKind: siteRandom.drawFloat() < 0.03 ? EndKind.Failed : EndKind.Done,
  });
  const fakes = [...site.endpoints.values()];
  for (const fake of fakes) fake.getStopMs = () => random.drawInt(900);
  let preemptions = 0;
  for (let n = 0; n < JOBS_PER_SEED; n++) {
    site.submit(makeRandomJob(`j${n}`, { random, hasAdvice }));
    site.advance(random.drawInt(300));
    preemptions += site.cell.state.placement.preemptions.length;
    const endpoint = fakes[random.drawInt(fakes.length)];
    const fault = random.drawInt(16);
    if (fault === 0) {
      site.replaceOwner();
      site.cell.state.runTimes = runTimes;
    } else if (fault === 1) endpoint.restart(site.now);
    else if (fault === 2) endpoint.isUnreachable = true;
    else if (fault < 6) {
      for (const fake of fakes) fake.isUnreachable = false;
    }
  }
  for (const fake of fakes) fake.isUnreachable = false;
  site.lostStartRatio = 0;
  site.advance(90_000);
  const unfinished = Array.from({ length: JOBS_PER_SEED }, (_, n) => `j${n}`)
    .filter((id) =>
      [JobState.Pending, JobState.Running].some((s) => s === site.find(id))
    );
  return { site, unfinished, preemptions };
}

// Guards against a model of run times, right or wrong, that decides about more than
// when and where work runs.
test("invariants hold and all jobs end under random faults, speeds and predictions", (t) => {
  let preemptions = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const outcome = runRandomFaults(seed);
    t.deepEqual(outcome.site.checker.violations, [], `seed ${seed}`);
    t.deepEqual(outcome.unfinished, [], `seed ${seed}`);
    preemptions += outcome.preemptions;
  }
  t.true(preemptions > 0);
});
