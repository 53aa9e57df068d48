/**
 * Runs several entries on virtual time through random faults and checks the
 * invariants; prints what was run and the shrunk counter-example, if any.
 *
 * Usage: node dist/tools/proofs.js --runs N --seed S [--jobs J] [--seconds T]
 * [--shrink]
 */
import { fork } from "node:child_process";
import process from "node:process";
import { parseArgs } from "node:util";
import fc from "fast-check";
import { type Fault, faultsArbitrary } from "../tests/virtual/faults.ts";
import { type RunReport, runSite } from "../tests/virtual/run.ts";

interface Totals {
  runs: number;
  requests: number;
  starts: number;
  checks: number;
  faults: Record<string, number>;
  outcomes: Record<string, number>;
  failure?: string;
}

const { values } = parseArgs({
  options: {
    runs: { type: "string", default: "20" },
    seed: { type: "string", default: "1" },
    jobs: { type: "string", default: "4" },
    path: { type: "string" },
    seconds: { type: "string", default: "3000" },
    shrink: { type: "boolean", default: false },
  },
});
const runs = Number(values.runs);
const seed = Number(values.seed);
const jobs = Math.max(1, Math.min(Number(values.jobs), runs));

if (process.send) {
  process.send(await runProperty({ runs, seed }));
  process.disconnect();
} else {
  const totals = await runJobs();
  process.stdout.write(`${JSON.stringify(totals, null, 2)}\n`);
  process.stdout.write(totals.failure ? "FAILED\n" : "all runs passed\n");
  process.exitCode = totals.failure ? 1 : 0;
}

async function runJobs(): Promise<Totals> {
  const parts = Array.from({ length: jobs }, (_, job) => {
    const share = Math.floor(runs / jobs) + (job < runs % jobs ? 1 : 0);
    const args = ["--runs", String(share), "--seed", String(seed + job)];
    args.push("--seconds", values.seconds);
    if (values.shrink) args.push("--shrink");
    if (values.path) args.push("--path", values.path);
    return new Promise<Totals>((resolve) => {
      fork(process.argv[1], args).once(
        "message",
        (totals) => resolve(totals as Totals),
      );
    });
  });
  const totals = createTotals();
  for (const part of await Promise.all(parts)) addTotals(totals, part);
  return totals;
}

async function runProperty(
  options: { runs: number; seed: number },
): Promise<Totals> {
  const totals = createTotals();
  const property = fc.asyncProperty(
    fc.integer({ min: 0, max: 1_000_000 }),
    faultsArbitrary,
    async (siteSeed, faults) => {
      const report = await runSite(siteSeed, faults);
      countRun(totals, report, faults);
      if (report.faults.length > 0) {
        throw new Error(report.faults.slice(0, 10).join("\n"));
      }
    },
  );
  const result = await fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    path: values.path,
    endOnFailure: !values.shrink,
    interruptAfterTimeLimit: Number(values.seconds) * 1_000,
  });
  if (result.failed) {
    totals.failure = `seed ${options.seed}, path ${result.counterexamplePath}` +
      `\n${JSON.stringify(result.counterexample)}\n${result.errorInstance}`;
  }
  return totals;
}

function createTotals(): Totals {
  return {
    runs: 0,
    requests: 0,
    starts: 0,
    checks: 0,
    faults: {},
    outcomes: {},
  };
}

function countRun(totals: Totals, report: RunReport, faults: Fault[]): void {
  totals.runs += 1;
  totals.requests += report.requests;
  totals.starts += report.starts;
  totals.checks += report.checks;
  for (const { kind } of faults) {
    totals.faults[kind] = (totals.faults[kind] ?? 0) + 1;
  }
  addCounts(totals.outcomes, report.outcomes);
}

function addTotals(totals: Totals, part: Totals): void {
  totals.runs += part.runs;
  totals.requests += part.requests;
  totals.starts += part.starts;
  totals.checks += part.checks;
  addCounts(totals.faults, part.faults);
  addCounts(totals.outcomes, part.outcomes);
  totals.failure ??= part.failure;
}

function addCounts(
  into: Record<string, number>,
  from: Record<string, number>,
): void {
  for (const [name, count] of Object.entries(from)) {
    into[name] = (into[name] ?? 0) + count;
  }
}
