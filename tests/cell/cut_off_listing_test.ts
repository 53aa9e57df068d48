import test from "ava";
import { SeededRandom } from "../../packages/base/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";

const SEED_COUNT = 60;
/** Largest number of ends in one listing of the platform's endpoints. */
const PLATFORM_PAGE_LENGTH = 500;
const SMALL_DEMAND = { milliCores: 5, memoryMb: 5, accelerators: 0 };

/** Makes a site whose only endpoint holds all tasks of `submitSmallTasks`. */
function makeSite(
  options: { seed?: number; pageLength?: number; afterMs?: number } = {},
): CellSite {
  const site = new CellSite({ ...options, endpoints: 1 });
  for (const fake of site.endpoints.values()) {
    fake.pageLength = options.pageLength ?? PLATFORM_PAGE_LENGTH;
  }
  site.advance(200);
  return site;
}

function submitSmallTasks(
  site: CellSite,
  { tasks, hasAdvice = true }: { tasks: number; hasAdvice?: boolean },
): void {
  const queue = makeQueue(hasAdvice ? { advice: TICKETS } : {});
  const step = makeStep({ tasks, demand: SMALL_DEMAND });
  site.submit(makeJob("a", [step], { queue }));
}

// Guards against tasks that run again although they are done: the new owner's first
// listing of an endpoint showed 500 of its ends, and the other tasks in neither list.
test("a new owner starts no task whose end is cut off from the first listing", (t) => {
  const site = makeSite({ afterMs: 300 });
  submitSmallTasks(site, { tasks: 1_200 });
  site.advance(200);
  t.is(site.checker.starts, 1_200);
  const [fake] = site.endpoints.values();
  fake.isUnreachable = true;
  site.advance(500);
  fake.isUnreachable = false;
  site.replaceOwner();
  site.advance(2_000);
  t.deepEqual(site.checker.violations, []);
  t.is(site.checker.starts, 1_200);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against tasks that run again although they are done, without any fault: they
// ended before a listing showed them, and their ends were cut off.
test("a run that ended before any listing is not released by one that is cut off", (t) => {
  const site = makeSite({ afterMs: 50 });
  submitSmallTasks(site, { tasks: 1_200 });
  site.advance(3_000);
  t.deepEqual(site.checker.violations, []);
  t.is(site.checker.starts, 1_200);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against a task that waits without end because its endpoint, which listed only a
// part of its ends, has left since.
test("tasks whose ends may be hidden are started elsewhere once all leases have ended", (t) => {
  const site = makeSite({ afterMs: 100 });
  submitSmallTasks(site, { tasks: 600 });
  site.advance(120);
  const [fake] = site.endpoints.values();
  fake.isUnreachable = true;
  site.advance(400);
  site.replaceOwner();
  fake.isUnreachable = false;
  site.advance(10);
  fake.isUnreachable = true;
  t.true(site.cell.state.unlocated.size > 0);
  site.endpoints.delete(fake.id);
  site.addEndpoint("e1", fake.capacity);
  site.applyEndpointList();
  site.advance(20_000);
  t.is(site.find("a"), JobState.Completed);
});

/**
 * Runs small tasks on endpoints that list a random number of ends at a time, while the
 * owner is replaced and endpoints can't be reached at random moments.
 */
function runRandomPages(seed: number): CellSite {
  const random = new SeededRandom(seed);
  const site = makeSite({ seed, pageLength: 5 + random.drawInt(60) });
  const shortestMs = random.drawInt(400);
  site.endRule = (_, siteRandom) => ({
    afterMs: shortestMs + siteRandom.drawInt(300),
    endKind: siteRandom.drawFloat() < 0.02 ? EndKind.Failed : EndKind.Done,
  });
  site.pollIntervalMs = 20 + random.drawInt(400);
  const [fake] = site.endpoints.values();
  submitSmallTasks(site, {
    tasks: 1 + random.drawInt(300),
    hasAdvice: random.drawFloat() < 0.7,
  });
  for (let n = 0; n < 6; n++) {
    site.advance(random.drawInt(300));
    const fault = random.drawInt(5);
    if (fault === 0) site.replaceOwner();
    else if (fault === 1) fake.isUnreachable = true;
    else if (fault === 2) site.takeSnapshot();
    else fake.isUnreachable = false;
  }
  fake.isUnreachable = false;
  site.advance(60_000);
  return site;
}

// Guards against starts after a `done` that an endpoint lists only later, for any number
// of ends, any length of a page and an owner that is replaced at any step.
test("no task starts after it is done, however its end is listed", (t) => {
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const site = runRandomPages(seed);
    t.deepEqual(site.checker.violations, [], `seed ${seed}`);
    // The job is unknown if the owner was replaced before it was committed.
    const state = site.find("a");
    t.true(
      state === undefined || state === JobState.Completed,
      `seed ${seed}: ${state}`,
    );
  }
});
