import test from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { OwnerSite } from "./owner_site.ts";

/** Longest time for which due work may wait beside room, in ms; the platform's limit. */
const WAIT_MS = 3_000;
const SEEDS = Array.from({ length: 20 }, (_, index) => 4_101 + index);
const SUBMIT_INTERVAL_MS = 100;
const demand = { milliCores: 10, memoryMb: 1, accelerators: 0 };

/**
 * Keeps an endpoint busy, leaves its orders without answers for a second, some of which
 * are carried out up to 12 s later, and restarts it under its id.
 */
async function restartBehindCut(seed: number): Promise<OwnerSite> {
  const site = new OwnerSite(seed, { entries: 1, endpoints: 1 });
  site.drawRunTime = () => 200;
  site.drawEndKind = () => EndKind.Done;
  await site.time.advance(1_000);
  await submitFor(site, 3_000);
  // The cut begins at another moment of the cycle of polls with each seed.
  await site.time.advance(20 * (seed % SEEDS.length));
  site.orderFaultRate = 1;
  await submitFor(site, 1_000);
  const [endpoint] = site.endpoints.values();
  site.restartEndpoint(endpoint);
  site.orderFaultRate = 0;
  return site;
}

async function submitFor(site: OwnerSite, ms: number): Promise<void> {
  for (let elapsed = 0; elapsed < ms; elapsed += SUBMIT_INTERVAL_MS) {
    const job = makeJob(`j${site.jobs.size}`, [makeStep({ demand })]);
    site.entries[0].submit(job, () => {});
    await site.time.advance(SUBMIT_INTERVAL_MS);
  }
}

// Guards against endpoints that get no work for 12.5 s after each restart under their id,
// as an acknowledgement of ends without an answer might still arrive (LOST).
test("an endpoint that restarts behind a cut gets work once it is back", async (t) => {
  for (const seed of SEEDS) {
    const site = await restartBehindCut(seed);
    const firstLater = site.jobs.size;
    await submitFor(site, WAIT_MS);
    const state = site.entries[0].role?.find(`j${firstLater}`, "norte")?.state;
    t.is(state, JobState.Completed, `seed ${seed}`);
  }
});

// Guards against ends of the next lifetime that such an acknowledgement drops unseen, so
// that their tasks run again or never end (TWICE, LOST).
test("late orders for a former lifetime change nothing in the next one", async (t) => {
  for (const seed of SEEDS) {
    const site = await restartBehindCut(seed);
    await submitFor(site, 15_000);
    await site.time.advance(20_000);
    t.deepEqual({ seed, violations: site.checker.violations }, {
      seed,
      violations: [],
    });
    const role = site.entries[0].role!;
    const unfinished = [...site.jobs.keys()].filter((id) => {
      const state = role.find(id, "norte")?.state;
      return state === JobState.Running || state === JobState.Pending;
    });
    t.deepEqual({ seed, unfinished }, { seed, unfinished: [] });
  }
});
