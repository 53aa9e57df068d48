/**
 * Measures what one cell's decisions cost by its size: jobs of two tasks arrive
 * so that 0.6 of all cores are busy, and endpoints answer in memory.
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

const SIZES = [33, 100, 300, 1_000];
const TASK_MS = 600;
const CORES = 8;
const BUSY_PART = 0.6;
const WARM_UP_MS = 1_000;
const MEASURED_MS = 2_000;
const STEP_MS = 20;

const rows = [["endpoints", "starts/s", "plan ms", "us a start", "MiB"]];
for (const endpoints of SIZES) rows.push(measureSize(endpoints));
process.stdout.write(`${formatTable(rows)}\n`);

function measureSize(endpoints: number): string[] {
  const site = new CellSite({ endpoints, afterMs: TASK_MS });
  site.holdMs = 200;
  const perStep = endpoints * CORES * BUSY_PART / TASK_MS * STEP_MS / 2;
  const timer = watchPlans(site);
  let owed = 0;
  let id = 0;
  const run = (ms: number) => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      for (owed += perStep; owed >= 1; owed--) {
        const queue = makeQueue({ priority: id % 3, stretch: 4 });
        const step = makeStep({ tasks: 2, estimateMs: TASK_MS });
        site.submit(makeJob(`j${id++}`, [step], { queue }));
      }
      site.advance(STEP_MS);
    }
  };
  run(WARM_UP_MS);
  const before = { ...timer, starts: site.checker.starts };
  run(MEASURED_MS);
  const starts = site.checker.starts - before.starts;
  const plans = timer.plans - before.plans;
  const spent = timer.ms - before.ms;
  globalThis.gc?.();
  const heap = process.memoryUsage().heapUsed / 1024 / 1024;
  return [
    String(endpoints),
    String(Math.round(starts / MEASURED_MS * 1_000)),
    (spent / plans).toFixed(3),
    String(Math.round(spent * 1_000 / Math.max(1, starts))),
    heap.toFixed(0),
  ];
}

/** Adds up the processor time of plans. */
function watchPlans(site: CellSite): { plans: number; ms: number } {
  const total = { plans: 0, ms: 0 };
  const { cell } = site;
  const plan = cell.plan.bind(cell);
  cell.plan = (present, options) => {
    const startedAt = performance.now();
    plan(present, options);
    total.ms += performance.now() - startedAt;
    total.plans++;
  };
  return total;
}
