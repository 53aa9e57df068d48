import test from "ava";
import type { Endpoint } from "../../packages/cell/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeQueue, makeStep } from "./cell_site.ts";

const WORK_MS = 640;

const urgent = makeQueue({
  name: "urgent",
  priority: 0,
  stretch: 1.5,
  targetLatencyMs: 250,
  advice: { decideMs: 7, perEndpointMs: 0.1, validMs: 2_500 },
});

/** Objective of an urgent job: its work and one call about 30 endpoints, stretched. */
const URGENT_OBJECTIVE_MS = 1.5 * (WORK_MS + 10) + 250;

const bulk = makeQueue({
  name: "bulk",
  priority: 1,
  stretch: 2.2,
  targetLatencyMs: 1_000,
  advice: { decideMs: 550, perEndpointMs: 7.8, validMs: 2_500 },
});

/** Entries that call the policy service, one call at a time. */
const ENTRIES = 10;

/**
 * Starts a site of endpoints of 16 cores. A bulk task takes 9 of them, so that urgent
 * tasks always have room beside one.
 */
function startSite(endpoints: number): CellSite {
  const site = new CellSite({
    endpoints,
    capacity: { milliCores: 16_000, memoryMb: 64_000, accelerators: 0 },
    afterMs: WORK_MS,
  });
  site.adviceBacklogs = Array.from({ length: ENTRIES }, () => site.now);
  site.adviceValidMs = 2_500;
  site.advance(300);
  return site;
}

function submitBulk(site: CellSite, count: number): void {
  const demand = { milliCores: 9_000, memoryMb: 4_500, accelerators: 0 };
  for (let n = 0; n < count; n++) {
    const step = makeStep({ tasks: 20, gang: true, estimateMs: 5_000, demand });
    site.submit(makeJob(`b${n}`, [step], { queue: bulk }));
  }
}

function submitUrgent(site: CellSite, id: string): void {
  const step = makeStep({ estimateMs: WORK_MS });
  site.submit(makeJob(id, [step], { queue: urgent }));
}

/** Counts how often plans look at endpoints while `run` runs. */
function countLooks(site: CellSite, run: () => void): number {
  let looks = 0;
  for (const endpoint of site.cell.state.endpoints.values()) {
    const { info } = endpoint;
    Object.defineProperty(endpoint, "info", {
      configurable: true,
      get: () => {
        looks++;
        return info;
      },
    });
  }
  run();
  for (const endpoint of site.cell.state.endpoints.values()) {
    const { info } = endpoint;
    Object.defineProperty(endpoint, "info", { value: info, writable: true });
  }
  return looks;
}

// Plans took longer with each stage that waits for a call to the policy service, so that
// entries idled between plans and more stages waited: a burst ended in few starts.
test("stages that wait for advice cost a plan no look at the endpoints while no entry can ask", (t) => {
  const site = startSite(100);
  const busyUntil = site.now + 60_000;
  const countPlan = () => {
    site.adviceBacklogs = Array.from({ length: ENTRIES }, () => busyUntil);
    return countLooks(site, () => {
      site.cell.setAdviceBacklogs(site.adviceBacklogs!.map(() => 60_000));
      site.cell.plan(site.time, { mayStart: true });
    });
  };
  const idleLooks = countPlan();
  for (let n = 0; n < 200; n++) submitUrgent(site, `u${n}`);
  const endpoints: Endpoint[] = [...site.cell.state.endpoints.values()];
  const looks = countPlan();
  t.true(looks - idleLooks <= endpoints.length, `${looks} and ${idleLooks}`);
});

// All entries were taken by calls of most of a second for gangs, and urgent work with room
// at hand waited for advice until it was late.
test("urgent work is advised in time while long calls of less urgent work wait", (t) => {
  const site = startSite(100);
  submitBulk(site, 30);
  site.advance(2_000);
  const dueAt = new Map<string, number>();
  const late: string[] = [];
  let submitted = 0;
  for (let step = 0; step < 500; step++) {
    // 60 jobs a second for 3 s, on 39 of the 700 cores that bulk leaves free.
    if (step < 300 && step % 5 < 3) {
      const id = `u${submitted++}`;
      submitUrgent(site, id);
      dueAt.set(id, site.now + URGENT_OBJECTIVE_MS);
    }
    site.advance(10);
    for (const [id, at] of dueAt) {
      const isDone = site.find(id) === JobState.Completed;
      if (!isDone && site.now <= at) continue;
      if (!isDone) late.push(id);
      dueAt.delete(id);
    }
  }
  t.deepEqual(late, [], `${late.length} of ${submitted} are late`);
});
