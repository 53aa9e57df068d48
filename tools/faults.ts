/**
 * Runs a site as separate processes under load, injects faults, and prints the
 * results. A checker that reads only the histories of the clients and endpoints
 * decides whether a result is wrong. `--pairs` injects two faults at once;
 * `--only` selects the faults whose name contains NAME.
 *
 * Usage: node dist/tools/faults.js [--only NAME] [--pairs] [--json]
 */
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { formatTable } from "../packages/cli/mod.ts";
import { checkDirectory } from "../packages/config/mod.ts";
import { checkHistory } from "../tests/harness/check_history.ts";
import type { ClientRecord } from "../tests/harness/client.ts";
import { Fleet } from "../tests/harness/fleet.ts";
import { sleep } from "../tests/standins/http_server.ts";
import { LoadGenerator, OwnershipMonitor } from "./fault_load.ts";
import {
  combineScenarios,
  type Scenario,
  SCENARIOS,
} from "./fault_scenarios.ts";

const WARM_UP_MS = 6_000;
const BEFORE_FAULT_MS = 5_000;
const FAULT_DURATION_MS = 10_000;
const AFTER_FAULT_MS = 4_000;

interface ScenarioResult {
  name: string;
  sent: number;
  /** Number of violations that the checker found. */
  wrong: number;
  /** Descriptions of these violations. */
  faults: string[];
  /** Fraction of requests that were refused and did not run. */
  refusedPart: number;
  mayHaveRun: number;
  /** Requests that ran per second before the fault. */
  ranPerSecond: number;
  /** Rate during the fault, as a fraction of `ranPerSecond`. */
  throughputDuring: number;
  causes: Record<string, number>;
  /** Seconds from the injection until every endpoint had an owner again. */
  secondsUntilService: number;
  /** Mean fraction of endpoints without an owner. */
  strandedPart: number;
}

function listScenarios(): Scenario[] {
  if (!values.pairs) return SCENARIOS;
  const [, ...scenarios] = SCENARIOS;
  return scenarios.flatMap((a, index) =>
    scenarios.slice(index + 1).map((b) => combineScenarios(a, b))
  );
}

async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
  const fleet = await Fleet.start({ example: "guanacaste", relay: true });
  try {
    const entries = [...fleet.entries.values()];
    await fleet.waitForStatus(entries[0], (s) => s.entries.length === 9);
    await fleet.applyConfig(entries[0]);
    await fleet.waitForEndpoints(30);
    return await measureScenario(fleet, scenario);
  } finally {
    await fleet.stop();
  }
}

async function measureScenario(
  fleet: Fleet,
  scenario: Scenario,
): Promise<ScenarioResult> {
  const load = new LoadGenerator(fleet);
  await sleep(WARM_UP_MS + BEFORE_FAULT_MS);
  const faultBeganAt = Date.now();
  await scenario.begin(fleet);
  const monitor = new OwnershipMonitor(fleet);
  await sleep(FAULT_DURATION_MS - (Date.now() - faultBeganAt));
  const faultEndedAt = Date.now();
  await scenario.end(fleet);
  await sleep(AFTER_FAULT_MS);
  const { secondsUntilOwned, unownedFraction } = await monitor.finish();
  const records = await load.finish();
  const config = checkDirectory(join(fleet.directory, "config"));
  const teams = Object.fromEntries(
    Object.entries(config.configuration!.teams).map(([name, team]) => [
      name,
      team.limit,
    ]),
  );
  const violations = checkHistory(records, await fleet.readHistory(), {
    teams,
  });
  const computeRanPerSecond = (from: number, to: number) =>
    records.filter(({ verdict, endedAt }) =>
      verdict === "ran" && endedAt >= from && endedAt < to
    ).length * 1_000 / (to - from);
  const ranPerSecondBefore = computeRanPerSecond(
    faultBeganAt - BEFORE_FAULT_MS,
    faultBeganAt,
  );
  return {
    name: scenario.name,
    sent: records.length,
    wrong: violations.length,
    faults: violations,
    refusedPart: countVerdict(records, "not_run") / records.length,
    mayHaveRun: countVerdict(records, "may_have_run"),
    ranPerSecond: ranPerSecondBefore,
    throughputDuring: computeRanPerSecond(faultBeganAt, faultEndedAt) /
      ranPerSecondBefore,
    causes: countCauses(records),
    secondsUntilService: secondsUntilOwned,
    strandedPart: unownedFraction,
  };
}

function countVerdict(records: ClientRecord[], verdict: string): number {
  return records.filter((record) => record.verdict === verdict).length;
}

function countCauses(records: ClientRecord[]): Record<string, number> {
  const causes: Record<string, number> = {};
  for (const { verdict, cause } of records) {
    const name = `${verdict} ${cause}`;
    causes[name] = (causes[name] ?? 0) + 1;
  }
  return causes;
}

function printResults(): void {
  if (values.json) {
    process.stdout.write(`${JSON.stringify(results)}\n`);
    return;
  }
  const rows = [[
    "fault",
    "sent",
    "wrong",
    "refused",
    "may have run",
    "ran/s before",
    "during",
    "endpoints without owner until",
    "stranded",
  ]];
  for (const result of results) {
    rows.push([
      result.name,
      String(result.sent),
      String(result.wrong),
      `${(result.refusedPart * 100).toFixed(2)}%`,
      String(result.mayHaveRun),
      result.ranPerSecond.toFixed(0),
      `${(result.throughputDuring * 100).toFixed(1)}%`,
      `${result.secondsUntilService.toFixed(1)} s`,
      `${(result.strandedPart * 100).toFixed(1)}%`,
    ]);
  }
  process.stdout.write(`${formatTable(rows)}\n`);
  for (const { name, faults, causes } of results) {
    process.stdout.write(`${name}: ${JSON.stringify(causes)}\n`);
    for (const fault of faults.slice(0, 10)) {
      process.stdout.write(`WRONG ${name}: ${fault}\n`);
    }
  }
}

const { values } = parseArgs({
  options: {
    only: { type: "string" },
    pairs: { type: "boolean" },
    json: { type: "boolean" },
  },
});
const results: ScenarioResult[] = [];
for (const scenario of listScenarios()) {
  if (values.only && !scenario.name.includes(values.only)) continue;
  const result = await runScenario(scenario);
  process.stderr.write(`${result.name}: ${result.wrong} wrong\n`);
  results.push(result);
}
printResults();
process.exitCode = results.some((result) => result.wrong > 0) ? 1 : 0;
