import test from "ava";
import { SeededRandom } from "../../packages/base/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { StoreFault } from "./memory_store.ts";
import { OWNER_KEY } from "../../packages/scheduler/mod.ts";
import { type OwnerEntry, OwnerSite, WallTime } from "./owner_site.ts";

/** Number of seeds; `OWNER_SEEDS` sets a higher one for runs by hand. */
const SEED_COUNT = Number(process.env.OWNER_SEEDS ?? 12);
/**
 * Seeds that failed before. 20: an owner resumed an ownership that it had
 * released, while a commit of its former journal was still to take effect.
 */
const FORMER_FAILURES = [20];
const JOBS_PER_SEED = 20;

/** How hard a scenario is. */
interface ScenarioOptions {
  /** Share of orders that arrive late or whose answer is lost, from 0 to 1. */
  orderFaultRate: number;
  /** A fault is injected after one of this many jobs, on average. */
  jobsPerFault: number;
  /** Longest run of a task, in milliseconds; 0: that of the site. */
  maxRunMs: number;
  /** Speed of the endpoints' clocks, as a fraction of the true one. */
  clockRate: number;
  /** Entries may claim the cell from an owner that lives. */
  hasFalseClaims: boolean;
}

const USUAL: ScenarioOptions = {
  orderFaultRate: 0.05,
  jobsPerFault: 3,
  maxRunMs: 0,
  clockRate: 1,
  hasFalseClaims: false,
};
const HEAVY: ScenarioOptions = {
  orderFaultRate: 0.2,
  jobsPerFault: 2,
  maxRunMs: 6_000,
  clockRate: 0.98,
  hasFalseClaims: true,
};
/** First of the heavy seeds, and their number; the variables are for runs by hand. */
const HEAVY_FIRST_SEED = Number(process.env.OWNER_FIRST_SEED ?? 2);
const HEAVY_SEED_COUNT = Number(process.env.OWNER_SEEDS ?? 4);
/**
 * Heavy seeds that failed before: orders carried out in another lifetime of their
 * endpoint than the owner took them for.
 */
const FORMER_HEAVY_FAILURES = [10, 46, 93];
/**
 * Heavy seeds in which late orders ran a task twice, or brought an endpoint over its
 * room, on queues without tickets.
 */
const LATE_ORDER_FAILURES = [
  214,
  223,
  234,
  244,
  286,
  319,
  381,
  5020,
  5035,
  5036,
];
const STORE_FAULTS = [
  StoreFault.Timeout,
  StoreFault.Unavailable,
  StoreFault.LostAnswer,
  StoreFault.AppliedLate,
];

/** Lets an entry claim the cell from an owner that it takes for dead. */
function claimFalsely(site: OwnerSite, owner: OwnerEntry): void {
  const item = site.state.items.get(OWNER_KEY);
  const other = site.entries.find((entry) =>
    entry !== owner && !site.time.isKilled(entry.name)
  );
  if (item && other) other.election.claimFromDeadOwner(JSON.parse(item.value));
}

/** Injects or ends one random fault. */
function injectRandomFault(
  site: OwnerSite,
  random: SeededRandom,
  { hasFalseClaims }: ScenarioOptions,
): void {
  const entry = site.entries[random.drawInt(site.entries.length)];
  const owner = site.entries.find(({ role }) => role) ?? entry;
  const allEndpoints = [...site.endpoints.values()];
  const endpoint = allEndpoints[random.drawInt(allEndpoints.length)];
  const injections: (() => void)[] = [
    () => site.time.freeze(owner.name),
    () => site.time.thaw(owner.name),
    () => owner.store.fault = STORE_FAULTS[random.drawInt(4)],
    () => entry.store.fault = StoreFault.None,
    () => owner.control.unreachableEndpoints.add(endpoint.id),
    () => owner.control.unreachableEndpoints.clear(),
    () => site.restartEndpoint(endpoint),
    () => {
      site.time.kill(owner.name);
      owner.role = undefined;
      site.addEntry();
    },
    () => owner.handOver(),
    ...hasFalseClaims ? [() => claimFalsely(site, owner)] : [],
    () => {
      for (const siteEntry of site.entries) {
        siteEntry.control.unreachableEndpoints.add(endpoint.id);
      }
    },
  ];
  injections[random.drawInt(injections.length)]();
}

/** Ends all faults except kills, so that the cell can recover. */
function endAllFaults(site: OwnerSite): void {
  site.orderFaultRate = 0;
  for (const { name, store, control } of site.entries) {
    site.time.thaw(name);
    store.fault = StoreFault.None;
    control.unreachableEndpoints.clear();
  }
}

/** Finds an entry that runs and acts as the owner. */
function findOwner(site: OwnerSite): OwnerEntry | undefined {
  return site.entries.find(({ role, name }) =>
    role?.isReady && !site.time.isKilled(name) && !site.time.isFrozen(name)
  );
}

/** Submits jobs while faults are injected, then lets the cell recover. */
async function runScenario(seed: number, options: ScenarioOptions) {
  const random = new SeededRandom(seed);
  const site = new OwnerSite(seed + 1, {
    entries: 3,
    endpoints: 4,
    // The listed seeds were found with it.
    wallTime: WallTime.System,
  });
  if (options.maxRunMs > 0) {
    site.drawRunTime = () => 50 + site.random.drawInt(options.maxRunMs);
  }
  for (const fake of site.endpoints.values()) {
    fake.clockRate = options.clockRate;
  }
  const accepted: string[] = [];
  await site.time.advance(1_000);
  site.orderFaultRate = options.orderFaultRate;
  for (let n = 0; n < JOBS_PER_SEED; n++) {
    const job = makeJob(`j${n}`, [
      makeStep({ tasks: 1 + random.drawInt(5) }),
      makeStep({ tasks: 1 + random.drawInt(3), after: [0] }),
    ]);
    findOwner(site)?.submit(job, () => accepted.push(job.id));
    await site.time.advance(100 + random.drawInt(500));
    if (random.drawInt(options.jobsPerFault) === 0) {
      injectRandomFault(site, random, options);
    }
  }
  endAllFaults(site);
  await site.time.advance(60_000);
  const owner = findOwner(site);
  const unfinished = accepted.filter((id) => {
    const state = owner?.role?.find(id, "norte")?.state;
    return state !== JobState.Completed && state !== JobState.Failed;
  });
  return { site, accepted, unfinished };
}

test("invariants hold and accepted jobs end although owners are killed, cut off or frozen beyond their lease", async (t) => {
  let accepted = 0;
  const firstSeeds = Array.from({ length: SEED_COUNT }, (_, n) => n + 1);
  for (const seed of [...firstSeeds, ...FORMER_FAILURES]) {
    const result = await runScenario(seed, USUAL);
    t.deepEqual(result.site.checker.violations, [], `seed ${seed}`);
    t.deepEqual(result.unfinished, [], `seed ${seed}`);
    accepted += result.accepted.length;
  }
  t.true(accepted > SEED_COUNT * JOBS_PER_SEED / 3, String(accepted));
});

/** Runs heavy scenarios; returns what they violated, by seed. */
async function findHeavyViolations(seeds: number[]): Promise<string[]> {
  const violations: string[] = [];
  for (const seed of seeds) {
    const { site, unfinished } = await runScenario(seed, HEAVY);
    for (const violation of site.checker.violations) {
      violations.push(`seed ${seed}: ${violation}`);
    }
    for (const id of unfinished) violations.push(`seed ${seed}: ${id} waits`);
  }
  return violations;
}

test("invariants hold although many orders are late, owners live on after a claim, and clocks are slow", async (t) => {
  t.timeout(900_000);
  const seeds = Array.from(
    { length: HEAVY_SEED_COUNT },
    (_, n) => HEAVY_FIRST_SEED + n,
  );
  const violations = await findHeavyViolations([
    ...seeds,
    ...FORMER_HEAVY_FAILURES,
  ]);
  t.deepEqual(violations, []);
});

test("a late start of a former owner reaches no restarted endpoint before the owner's first poll", async (t) => {
  t.deepEqual(await findHeavyViolations([1]), []);
});

// Guards against starts and acknowledgements without an answer that count as settled
// although an endpoint can still carry them out.
test("late orders run no task twice on the heavy seeds that failed before", async (t) => {
  t.timeout(900_000);
  t.deepEqual(await findHeavyViolations(LATE_ORDER_FAILURES), []);
});
