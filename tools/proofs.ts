/**
 * Runs several entries in virtual time under random faults and checks the
 * invariants. Prints the totals of the runs and the counter-example, if any;
 * `--shrink` reduces it first, and `--path` with the same seed replays it.
 * `--jobs` sets the number of processes, `--seconds` the time limit of each.
 *
 * Usage: node dist/tools/proofs.js --runs N --seed S [--jobs J] [--seconds T]
 * [--path P] [--shrink]
 */
import { fork } from "node:child_process";
import process from "node:process";
import { parseArgs } from "node:util";
import fc from "fast-check";
import { type Fault, faultsArbitrary } from "../tests/virtual/faults.ts";
import { type RunReport, runSite } from "../tests/virtual/run_site.ts";

interface Totals {
  runs: number;
  requests: number;
  starts: number;
  checks: number;
  /** Number of injected faults by kind. */
  faults: Record<string, number>;
  outcomes: Record<string, number>;
  /** Seed, path and error of a counter-example. */
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
const processCount = Math.max(1, Math.min(Number(values.jobs), runs));

if (process.send) {
  // Forked by `runInProcesses`.
  process.send(await runProperty({ runs, seed }));
  process.disconnect();
} else {
  const totals = await runInProcesses();
  process.stdout.write(`${JSON.stringify(totals, null, 2)}\n`);
  process.stdout.write(totals.failure ? "FAILED\n" : "all runs passed\n");
  process.exitCode = totals.failure ? 1 : 0;
}

async function runInProcesses(): Promise<Totals> {
  const pendingTotals = Array.from({ length: processCount }, (_, index) => {
    const runCount = Math.floor(runs / processCount) +
      (index < runs % processCount ? 1 : 0);
    const args = ["--runs", String(runCount), "--seed", String(seed + index)];
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
  for (const part of await Promise.all(pendingTotals)) addTotals(totals, part);
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
      addRun(totals, report, faults);
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

function addRun(totals: Totals, report: RunReport, faults: Fault[]): void {
  totals.runs += 1;
  totals.requests += report.requests;
  totals.starts += report.starts;
  totals.checks += report.checks;
  for (const { kind } of faults) {
    totals.faults[kind] = (totals.faults[kind] ?? 0) + 1;
  }
  addCounts(totals.outcomes, report.outcomes);
}

function addTotals(totals: Totals, added: Totals): void {
  totals.runs += added.runs;
  totals.requests += added.requests;
  totals.starts += added.starts;
  totals.checks += added.checks;
  addCounts(totals.faults, added.faults);
  addCounts(totals.outcomes, added.outcomes);
  totals.failure ??= added.failure;
}

function addCounts(
  target: Record<string, number>,
  source: Record<string, number>,
): void {
  for (const [name, count] of Object.entries(source)) {
    target[name] = (target[name] ?? 0) + count;
  }
}
