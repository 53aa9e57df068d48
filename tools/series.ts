/**
 * Runs the real bundle as processes while endpoints restart in series behind cuts, and
 * checks what callers and endpoints see; see `SeriesOptions` for the settings.
 *
 * Usage: node dist/tools/series.js [--seeds N] [--seed S] [--seconds T] [--entries E]
 * [--endpoints W] [--jobs-per-second R] [--cut-share X] [--same-id X]
 * [--processor-share X] [--bundle FILE] [--case NAME]
 * `--case`: the settings of a case of tests/soak/series_cases.ts, unless others are given.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { runSeries } from "../tests/soak/series/run_series.ts";
import { SERIES_DEFAULTS } from "../tests/soak/series/types.ts";
import { SERIES_CASES } from "../tests/soak/series_cases.ts";

const USAGE =
  `usage: node dist/tools/series.js [--seeds N] [--seed S] [--seconds T] [--entries E]
  [--endpoints W] [--jobs-per-second R] [--cut-share X] [--same-id X]
  [--processor-share X] [--bundle FILE] [--case NAME]
Cases: ${SERIES_CASES.map(({ name }) => name).join(", ")}`;

const { values } = parseArgs({
  options: {
    help: { type: "boolean" },
    seeds: { type: "string", default: "1" },
    seed: { type: "string" },
    seconds: { type: "string" },
    entries: { type: "string" },
    endpoints: { type: "string" },
    "jobs-per-second": { type: "string" },
    "cut-share": { type: "string" },
    "same-id": { type: "string" },
    "processor-share": { type: "string" },
    bundle: { type: "string" },
    case: { type: "string" },
  },
});
if (values.help) {
  print(USAGE);
  process.exit(0);
}
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.on(signal, () => process.exit(1));
}
const seriesCase = SERIES_CASES.find(({ name }) => name === values.case);
if (values.case && !seriesCase) throw new Error(`No case ${values.case}`);
const defaults = seriesCase?.options ?? SERIES_DEFAULTS;
const failedSeeds: number[] = [];
const firstSeed = Number(values.seed ?? defaults.seed);
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed++) {
  const report = await runSeries({
    ...defaults,
    seed,
    seconds: Number(values.seconds ?? defaults.seconds),
    entries: Number(values.entries ?? defaults.entries),
    endpoints: Number(values.endpoints ?? defaults.endpoints),
    jobsPerSecond: Number(values["jobs-per-second"] ?? defaults.jobsPerSecond),
    cutShare: Number(values["cut-share"] ?? defaults.cutShare),
    sameIdRatio: Number(values["same-id"] ?? defaults.sameIdRatio),
    processorShare: Number(
      values["processor-share"] ?? defaults.processorShare,
    ),
    bundle: values.bundle ?? defaults.bundle,
  });
  const { violations, ...rest } = report;
  const rules: Record<string, number> = {};
  for (const { rule } of violations) rules[rule] = (rules[rule] ?? 0) + 1;
  if (violations.length > 0) failedSeeds.push(seed);
  print(`seed ${seed}: ${JSON.stringify({ rules, ...rest })}`);
  for (const { rule, subject, detail } of violations.slice(0, 10)) {
    print(`  ${rule}: ${subject}: ${detail}`);
  }
}
print(
  failedSeeds.length > 0
    ? `FAILED: seeds ${failedSeeds.join(" ")}`
    : "all seeds passed",
);
process.exit(failedSeeds.length > 0 ? 1 : 0);

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
