import test from "ava";
import { HeadroomName } from "../../packages/cell/mod.ts";
import { mayFitBeside, reserveHeadroom } from "../../packages/cell/headroom.ts";
import { countFittingTasks } from "../../packages/cell/placement.ts";
import { beginPlacementPass } from "../../packages/cell/placement_pass.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  getJobId,
  makeJob,
  makeQueue,
  makeStep,
} from "./cell_site.ts";

const urgent = makeQueue({
  name: "urgent",
  priority: 0,
  stretch: 1.5,
  targetLatencyMs: 250,
});
const sweep = makeQueue({
  name: "sweep",
  priority: 2,
  targetLatencyMs: 60_000,
});

/** Time for which urgent work counts, in milliseconds. */
const WINDOW_MS = 10_000;

/**
 * Forty cores that are kept full of long tasks, with an urgent job of three tasks of two
 * cores every 700 ms until `urgentMs`. Returns how many urgent jobs were in time of those
 * submitted after the first 12 s.
 */
function runBursts(
  headroom: HeadroomName,
  { urgentMs, onTick }: { urgentMs: number; onTick?: (site: CellSite) => void },
) {
  const site = new CellSite({ endpoints: 5, policies: { headroom } });
  site.endRule = ({ task }, random) => ({
    afterMs: getJobId(task).startsWith("u")
      ? 600
      : 2_000 + random.drawInt(4_000),
    endKind: EndKind.Done,
  });
  site.pollIntervalMs = 20;
  site.advance(300);
  const startedAt = site.now;
  const step = makeStep({
    tasks: 3,
    estimateMs: 600,
    demand: { milliCores: 2_000, memoryMb: 100, accelerators: 0 },
  });
  const waiting = new Map<string, number>();
  let counted = 0;
  let inTime = 0;
  for (let n = 0; site.now - startedAt < 20_000; n++) {
    const long = makeStep({ tasks: 4, estimateMs: 4_000 });
    site.submit(makeJob(`long${n}`, [long], { queue: sweep }));
    if (n % 7 === 0 && site.now - startedAt < urgentMs) {
      site.submit(makeJob(`u${n}`, [step], { queue: urgent }));
      const dueAt = site.cell.state.jobs.get(`u${n}`)?.dueAt ?? 0;
      waiting.set(`u${n}`, dueAt);
      if (site.now - startedAt > 12_000) counted++;
    }
    site.advance(100);
    for (const [id, dueAt] of waiting) {
      if (site.find(id) !== JobState.Completed) continue;
      waiting.delete(id);
      const submittedAt = dueAt - 1_150;
      if (site.now <= dueAt && submittedAt - startedAt > 12_000) inTime++;
    }
    onTick?.(site);
  }
  return { site, counted, inTime };
}

function measureUsedCores({ cell }: CellSite): number {
  return [...cell.state.endpoints.values()]
    .reduce((sum, { used }) => sum + used.milliCores / 1_000, 0);
}

// Load: bursts of short urgent work in a service that is full of longer work.
test("learned headroom: urgent work finds room in a full service", (t) => {
  const learned = runBursts(HeadroomName.Learned, { urgentMs: 18_000 });
  const none = runBursts(HeadroomName.None, { urgentMs: 18_000 });
  t.is(learned.inTime, learned.counted);
  t.true(none.inTime < none.counted, `${none.inTime} of ${none.counted}`);
  t.deepEqual(learned.site.checker.violations, []);
});

// Guards against headroom that keeps more than a fifth of a service from other work.
test("learned headroom: at most a fifth of the cores is kept free, and none once urgent work has stopped", (t) => {
  let leastUsed = Number.POSITIVE_INFINITY;
  let usedAtEnd = 0;
  const { site } = runBursts(HeadroomName.Learned, {
    urgentMs: 8_000,
    onTick: (current) => {
      const used = measureUsedCores(current);
      if (current.now > 1_800_000_004_000) {
        leastUsed = Math.min(leastUsed, used);
      }
      usedAtEnd = used;
    },
  });
  // Some cores are free for the moment between the end of a run and the next plan.
  t.true(leastUsed >= 40 * 0.8 - 6, `${leastUsed} cores in use`);
  site.advance(WINDOW_MS);
  t.is(site.cell.state.placement.headroom.get("desk")?.milliCores, 0);
  t.true(usedAtEnd >= 38, `${usedAtEnd} cores in use`);
});

// Guards against a gang that waits for as long as there is urgent work.
test("learned headroom: a gang that needs every endpoint still starts", (t) => {
  let submitted = false;
  const { site } = runBursts(HeadroomName.Learned, {
    urgentMs: 20_000,
    onTick: (current) => {
      if (submitted || current.now < 1_800_000_004_000) return;
      submitted = true;
      const gang = makeStep({
        tasks: 5,
        gang: true,
        maxPerEndpoint: 1,
        demand: { milliCores: 7_000, memoryMb: 100, accelerators: 0 },
      });
      const queue = makeQueue({ name: "bulk" });
      current.submit(makeJob("gang", [gang], { queue }));
    },
  });
  t.is(site.find("gang"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a new owner that keeps room by what a former one saw.
test("learned headroom begins empty with a new owner", (t) => {
  const { site } = runBursts(HeadroomName.Learned, { urgentMs: 20_000 });
  t.true(site.cell.state.placement.urgentUse.size > 0);
  site.replaceOwner();
  t.is(site.cell.state.placement.headroom.size, 0);
  site.advance(20_000);
  t.deepEqual(site.checker.violations, []);
});

// Guards against plans that examine the endpoints of every waiting stage because each
// would fit into the headroom alone, and against one that skips a stage which fits.
test("stages that fit nowhere beside the headroom are skipped, others are not", (t) => {
  let skipped = 0;
  let wronglySkipped = 0;
  runBursts(HeadroomName.Learned, {
    urgentMs: 20_000,
    onTick: ({ cell: { state }, now }) => {
      const pass = beginPlacementPass(state, now);
      const service = pass.services.get("desk");
      const stage = [...state.ready].find(({ job, waitingTasks }) =>
        job.spec.queue === sweep && waitingTasks > 0
      );
      if (!stage || !service) return;
      reserveHeadroom(pass, stage);
      if (service.maxFree.milliCores < 1_000 || mayFitBeside(pass, stage)) {
        return;
      }
      skipped++;
      const fits = [...service.accepting].some((endpoint) =>
        countFittingTasks(pass, endpoint, stage) > 0
      );
      if (fits) wronglySkipped++;
    },
  });
  t.true(skipped > 10, `${skipped}`);
  t.is(wronglySkipped, 0);
});

test("a task that an idle endpoint cannot hold beside the headroom is not skipped", (t) => {
  let checked = 0;
  runBursts(HeadroomName.Learned, {
    urgentMs: 20_000,
    onTick: (site) => {
      const { state } = site.cell;
      const id = `whole${site.now}`;
      const demand = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };
      site.submit(makeJob(id, [makeStep({ demand })], { queue: sweep }));
      const pass = beginPlacementPass(state, site.now);
      const stage = state.jobs.get(id)?.stages[0];
      if (!stage) return;
      reserveHeadroom(pass, stage);
      if (pass.headroom.reserved.size > 0) {
        checked++;
        t.true(mayFitBeside(pass, stage));
      }
      site.cancel(id);
    },
  });
  t.true(checked > 0);
});
