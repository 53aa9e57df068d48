/**
 * Runs a site as separate processes under load, brings about one fault, and
 * prints what clients and endpoints saw. The verdicts come from a checker that
 * reads only their histories.
 *
 * Usage: node dist/tools/faults.js [--only NAME] [--json]
 */
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { formatTable } from "../packages/cli/mod.ts";
import { checkDirectory } from "../packages/config/mod.ts";
import { checkHistory } from "../tests/harness/check_history.ts";
import { type ClientRecord, sendRequest } from "../tests/harness/client.ts";
import { Fleet } from "../tests/harness/fleet.ts";
import { sleep } from "../tests/standins/http_server.ts";

const RUN_MS = 200;
const ARRIVAL_MS = 6;
const TIMEOUT_MS = 8_000;
const BEFORE_MS = 5_000;
const FAULT_MS = 12_000;
const AFTER_MS = 6_000;
const TEAMS = [
  "guanacaste-norte",
  "coopeganado",
  "pastos-del-sur",
  "lecheria-central",
];

interface Scenario {
  name: string;
  begin: (fleet: Fleet) => Promise<void>;
  end: (fleet: Fleet) => Promise<void>;
}

interface Result {
  name: string;
  sent: number;
  wrong: number;
  faults: string[];
  refusedPart: number;
  mayHaveRun: number;
  throughputDuring: number;
  secondsUntilService: number;
}

const VICTIM = "norte-entry-2";
const nothing = () => Promise.resolve();

const SCENARIOS: Scenario[] = [
  { name: "none", begin: nothing, end: nothing },
  {
    name: "kill -9, restart on the same VM",
    begin: async (fleet) => {
      fleet.signal(VICTIM, "SIGKILL");
      await fleet.waitForExit(VICTIM);
      fleet.startEntry(VICTIM);
    },
    end: nothing,
  },
  {
    name: "kill -9, VM gone",
    begin: async (fleet) => {
      fleet.signal(VICTIM, "SIGKILL");
      await fleet.setPlatform({ removeVms: [VICTIM] });
    },
    end: nothing,
  },
  {
    name: "freeze",
    begin: (fleet) => Promise.resolve(fleet.signal(VICTIM, "SIGSTOP")),
    end: (fleet) => Promise.resolve(fleet.signal(VICTIM, "SIGCONT")),
  },
  {
    name: "drain",
    begin: (fleet) => Promise.resolve(fleet.signal(VICTIM, "SIGTERM")),
    end: nothing,
  },
  {
    name: "platform down",
    begin: async (fleet) => {
      await fleet.setPlatform({ storeDown: true, vmListDown: true });
    },
    end: async (fleet) => {
      await fleet.setPlatform({ storeDown: false, vmListDown: false });
    },
  },
  {
    name: "platform loses 20 answers, then is slow",
    begin: async (fleet) => {
      await fleet.setPlatform({ loseAnswers: 20, slowMs: 400 });
    },
    end: async (fleet) => {
      await fleet.setPlatform({ loseAnswers: 0, slowMs: 0 });
    },
  },
  {
    name: "one domain cut from the platform",
    begin: async (fleet) => {
      await fleet.setPlatform({ cutSources: [`${fleet.network}.1.`] });
    },
    end: async (fleet) => {
      await fleet.setPlatform({ cutSources: [] });
    },
  },
  {
    name: "two drains together",
    begin: (fleet) => {
      fleet.signal("norte-entry-2", "SIGTERM");
      fleet.signal("norte-entry-3", "SIGTERM");
      return Promise.resolve();
    },
    end: nothing,
  },
  {
    name: "kill -9 while the platform is down",
    begin: async (fleet) => {
      await fleet.setPlatform({ storeDown: true, vmListDown: true });
      fleet.signal(VICTIM, "SIGKILL");
      await fleet.waitForExit(VICTIM);
      fleet.startEntry(VICTIM);
    },
    end: async (fleet) => {
      await fleet.setPlatform({ storeDown: false, vmListDown: false });
    },
  },
];

async function runScenario(scenario: Scenario): Promise<Result> {
  const fleet = await Fleet.start({ example: "guanacaste" });
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
): Promise<Result> {
  const load = new Load(fleet);
  await sleep(BEFORE_MS);
  const began = Date.now();
  await scenario.begin(fleet);
  const service = waitForService(fleet, began);
  await sleep(FAULT_MS - (Date.now() - began));
  const ended = Date.now();
  await scenario.end(fleet);
  await sleep(AFTER_MS);
  const records = await load.finish();
  const config = checkDirectory(join(fleet.directory, "config"));
  const teams = Object.fromEntries(
    Object.entries(config.configuration!.teams).map(([name, team]) => [
      name,
      team.limit,
    ]),
  );
  const faults = checkHistory(records, await fleet.readHistory(), { teams });
  const countRan = (from: number, to: number) =>
    records.filter(({ verdict, endedAt }) =>
      verdict === "ran" && endedAt >= from && endedAt < to
    ).length * 1_000 / (to - from);
  const before = countRan(began - BEFORE_MS + 1_500, began);
  return {
    name: scenario.name,
    sent: records.length,
    wrong: faults.length,
    faults,
    refusedPart: countVerdict(records, "not_run") / records.length,
    mayHaveRun: countVerdict(records, "may_have_run"),
    throughputDuring: countRan(began, ended) / before,
    secondsUntilService: await service,
  };
}

/** Sends to random entries that still listen, as a balancer does. */
class Load {
  readonly #records: Promise<ClientRecord>[] = [];
  readonly #timer: NodeJS.Timeout;
  #number = 0;

  constructor(fleet: Fleet) {
    this.#timer = setInterval(() => this.#send(fleet), ARRIVAL_MS);
  }

  async finish(): Promise<ClientRecord[]> {
    clearInterval(this.#timer);
    return await Promise.all(this.#records);
  }

  #send(fleet: Fleet): void {
    const entries = [...fleet.entries.values()].filter(({ child }) =>
      child.exitCode === null && child.signalCode === null
    );
    const number = this.#number++;
    const { url } = entries[number % entries.length];
    this.#records.push(sendRequest({
      url,
      team: TEAMS[number % TEAMS.length],
      queue: "ear-tag-batches",
      runMs: RUN_MS,
      timeoutMs: TIMEOUT_MS,
    }));
  }
}

/** Returns the seconds until all endpoints serve, seen by another domain. */
async function waitForService(fleet: Fleet, began: number): Promise<number> {
  const entry = fleet.entries.get("centro-entry-1")!;
  await sleep(1_000);
  const isServing = (status: {
    entries: { reachable: boolean; load?: { endpoints: number } }[];
  }) =>
    status.entries.filter((one) => one.reachable).reduce(
      (sum, one) => sum + (one.load?.endpoints ?? 0),
      0,
    ) >= 30;
  try {
    await fleet.waitForStatus(entry, isServing, FAULT_MS + AFTER_MS - 2_000);
    return (Date.now() - began) / 1_000;
  } catch {
    return Infinity;
  }
}

function countVerdict(records: ClientRecord[], verdict: string): number {
  return records.filter((record) => record.verdict === verdict).length;
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
    "throughput during",
    "all endpoints serve after",
  ]];
  for (const result of results) {
    rows.push([
      result.name,
      String(result.sent),
      String(result.wrong),
      `${(result.refusedPart * 100).toFixed(2)}%`,
      String(result.mayHaveRun),
      `${(result.throughputDuring * 100).toFixed(1)}%`,
      `${result.secondsUntilService.toFixed(1)} s`,
    ]);
  }
  process.stdout.write(`${formatTable(rows)}\n`);
  for (const { name, faults } of results) {
    for (const fault of faults.slice(0, 10)) {
      process.stdout.write(`FAULT ${name}: ${fault}\n`);
    }
  }
}

const { values } = parseArgs({
  options: { only: { type: "string" }, json: { type: "boolean" } },
});
const results: Result[] = [];
for (const scenario of SCENARIOS) {
  if (values.only && !scenario.name.includes(values.only)) continue;
  results.push(await runScenario(scenario));
}
printResults();
process.exitCode = results.some((result) => result.wrong > 0) ? 1 : 0;
