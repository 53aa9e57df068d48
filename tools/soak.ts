/**
 * Runs the real bundle as processes under faults drawn from a seed, and checks
 * what callers and endpoints see. For each seed that fails, prints the
 * violations, the schedule of the faults, and the folder with all logs.
 *
 * Usage: node dist/tools/soak.js [--seeds N] [--seed S] [--seconds T]
 * [--entries E] [--endpoints W] [--without KIND]...
 * [--bundle FILE] [--case NAME]
 * `--without` leaves a kind of fault out of the schedule, `--case` plays the
 * faults of a regression case, with its seed and time unless others are given.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { REGRESSION_CASES } from "../tests/soak/regression_cases.ts";
import { runSoak, type SoakReport } from "../tests/soak/run_soak.ts";
import type { Violation } from "../tests/soak/types.ts";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "1" },
    seed: { type: "string" },
    seconds: { type: "string" },
    entries: { type: "string", default: "4" },
    endpoints: { type: "string", default: "5" },
    case: { type: "string" },
    bundle: { type: "string" },
    without: { type: "string", multiple: true },
  },
});
// The processes of a run end with this one.
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.on(signal, () => process.exit(1));
}
const regressionCase = REGRESSION_CASES.find(({ name }) =>
  name === values.case
);
if (values.case && !regressionCase) throw new Error(`No case ${values.case}`);
const firstSeed = Number(values.seed ?? regressionCase?.seed ?? 1);
const seconds = Number(values.seconds ?? regressionCase?.seconds ?? 30);
const failedSeeds: number[] = [];

for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed++) {
  const report = await runSoak({
    seed,
    seconds,
    entries: Number(values.entries),
    endpoints: Number(values.endpoints),
    without: values.without,
    bundle: values.bundle,
    faults: regressionCase?.faults,
    onViolation: (violation) =>
      print(`seed ${seed}: ${describeViolation(violation)}`),
  });
  printReport(report);
  if (report.violations.length > 0) failedSeeds.push(seed);
}
print(
  failedSeeds.length > 0
    ? `FAILED: seeds ${failedSeeds.join(" ")}`
    : "all seeds passed",
);
process.exit(failedSeeds.length > 0 ? 1 : 0);

function printReport(report: SoakReport): void {
  const { seed, violations, timeLine, directory } = report;
  const { counts, faults, memoryMb } = report;
  const verdict = violations.length > 0 ? "FAILED" : "passed";
  print(
    `seed ${seed} ${verdict}: ${JSON.stringify({ counts, faults, memoryMb })}`,
  );
  for (const { at, stalledMs, cpuMs } of report.stalls) {
    const seconds = ((at - report.startedAt) / 1_000).toFixed(2);
    print(
      `  the soak itself stood still for ${stalledMs} ms until ${seconds} s,` +
        ` of which it computed ${Math.round(cpuMs)} ms`,
    );
  }
  if (violations.length === 0) return;
  for (const line of timeLine) print(`  ${line}`);
  for (const violation of violations) {
    const seconds = (violation.at - report.startedAt) / 1_000;
    print(`  ${seconds.toFixed(2)} s ${describeViolation(violation)}`);
  }
  print(`  logs and history: ${directory}`);
}

function describeViolation({ rule, subject, detail }: Violation): string {
  return `${rule}: ${subject}: ${detail}`;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
