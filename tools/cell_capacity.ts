/**
 * Measures the planning time and heap of one cell by its number of endpoints.
 * Jobs of two tasks arrive at a rate that keeps 0.6 of all cores busy; the
 * endpoints are simulated in memory.
 *
 * Usage: node --expose-gc dist/tools/cell_capacity.js
 */
import process from "node:process";
import { formatTable } from "../packages/cli/mod.ts";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
} from "../tests/cell/cell_site.ts";

const ENDPOINT_COUNTS = [33, 100, 300, 1_000];
const TASK_RUN_MS = 600;
const CORES_PER_ENDPOINT = 8;
const CORE_UTILISATION = 0.6;
const WARM_UP_MS = 1_000;
const MEASUREMENT_MS = 2_000;
const STEP_MS = 20;

const rows = [["endpoints", "starts/s", "plan ms", "us per start", "MiB"]];
for (const endpoints of ENDPOINT_COUNTS) rows.push(measurePlanning(endpoints));
process.stdout.write(`${formatTable(rows)}\n`);

function measurePlanning(endpoints: number): string[] {
  const site = new CellSite({ endpoints, afterMs: TASK_RUN_MS });
  site.pollIntervalMs = 200;
  // Each job has two tasks of one core.
  const jobsPerStep = endpoints * CORES_PER_ENDPOINT * CORE_UTILISATION /
    TASK_RUN_MS * STEP_MS / 2;
  const planTotals = observePlans(site);
  let jobsDue = 0;
  let jobNumber = 0;
  const runSite = (ms: number) => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      for (jobsDue += jobsPerStep; jobsDue >= 1; jobsDue--) {
        const queue = makeQueue({ priority: jobNumber % 3, stretch: 4 });
        const step = makeStep({ tasks: 2, estimateMs: TASK_RUN_MS });
        site.submit(makeJob(`j${jobNumber++}`, [step], { queue }));
      }
      site.advance(STEP_MS);
    }
  };
  runSite(WARM_UP_MS);
  const before = { ...planTotals, starts: site.checker.starts };
  runSite(MEASUREMENT_MS);
  const starts = site.checker.starts - before.starts;
  const plans = planTotals.plans - before.plans;
  const planMs = planTotals.ms - before.ms;
  globalThis.gc?.();
  const heapMib = process.memoryUsage().heapUsed / 1024 / 1024;
  return [
    String(endpoints),
    String(Math.round(starts / MEASUREMENT_MS * 1_000)),
    (planMs / plans).toFixed(3),
    String(Math.round(planMs * 1_000 / Math.max(1, starts))),
    heapMib.toFixed(0),
  ];
}

/**
 * Wraps the `plan` method of a cell. Returns the number of its calls and their
 * total duration in milliseconds, updated by each call.
 */
function observePlans(site: CellSite): { plans: number; ms: number } {
  const totals = { plans: 0, ms: 0 };
  const { cell } = site;
  const plan = cell.plan.bind(cell);
  cell.plan = (currentTime, options) => {
    const startedAt = performance.now();
    plan(currentTime, options);
    totals.ms += performance.now() - startedAt;
    totals.plans++;
  };
  return totals;
}
