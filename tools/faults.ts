/**
 * Runs a site as separate processes under load, brings about one fault, and
 * prints what clients and endpoints saw. The verdicts come from a checker that
 * reads only their histories.
 *
 * Usage: node dist/tools/faults.js [--only NAME] [--pairs] [--json]
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

const RUN_MS = 400;
const CONCURRENCY = 360;
const CHECK_MS = 500;
const WATCH_MS = 200;
const ENDPOINTS = 30;
const TIMEOUT_MS = 8_000;
const WARM_UP_MS = 6_000;
const BEFORE_MS = 5_000;
const FAULT_MS = 10_000;
const AFTER_MS = 4_000;
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
  /** Before the fault, and during it as a part of that. */
  ranPerSecond: number;
  throughputDuring: number;
  causes: Record<string, number>;
  /** Seconds after which no endpoint was without an owner any more. */
  secondsUntilService: number;
  strandedPart: number;
}

const VICTIM = "norte-entry-2";
const nothing = () => Promise.resolve();

const SCENARIOS: Scenario[] = [
  { name: "none", begin: nothing, end: nothing },
  {
    name: "kill -9, restart",
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
      fleet.signal("norte-entry-1", "SIGKILL");
      await fleet.setPlatform({ removeVms: ["norte-entry-1"] });
    },
    end: nothing,
  },
  {
    name: "freeze",
    begin: (fleet) =>
      Promise.resolve(fleet.signal("centro-entry-2", "SIGSTOP")),
    end: (fleet) => Promise.resolve(fleet.signal("centro-entry-2", "SIGCONT")),
  },
  {
    name: "two drains",
    begin: (fleet) => {
      fleet.signal("pacifico-entry-2", "SIGTERM");
      fleet.signal("pacifico-entry-3", "SIGTERM");
      return Promise.resolve();
    },
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
    name: "platform slow, loses answers",
    begin: async (fleet) => {
      await fleet.setPlatform({ loseAnswers: 20, slowMs: 400 });
    },
    end: async (fleet) => {
      await fleet.setPlatform({ loseAnswers: 0, slowMs: 0 });
    },
  },
  {
    name: "domain cut from platform",
    begin: async (fleet) => {
      await fleet.setPlatform({ cutSources: [`${fleet.network}.1.`] });
    },
    end: async (fleet) => {
      await fleet.setPlatform({ cutSources: [] });
    },
  },
  {
    name: "domain cut from domains",
    begin: async (fleet) => {
      const { network } = fleet;
      const cuts: [string, string][] = [
        [`${network}.1.`, `${network}.2.`],
        [`${network}.1.`, `${network}.3.`],
      ];
      await fleet.setRelay({ cuts });
    },
    end: (fleet) => fleet.setRelay({ cuts: [] }),
  },
  {
    name: "entry cut from endpoints",
    begin: (fleet) => setEndpointCut(fleet, [`${fleet.network}.1.3`]),
    end: (fleet) => setEndpointCut(fleet, []),
  },
];

async function setEndpointCut(
  fleet: Fleet,
  cutSources: string[],
): Promise<void> {
  const endpoints = Array.from(
    { length: 10 },
    (_, index) => `norte-worker-${String(index + 1).padStart(2, "0")}`,
  );
  await fleet.setEndpoints("norte", { endpoints, cutSources });
}

/** Two faults at once. */
function combineScenarios(a: Scenario, b: Scenario): Scenario {
  return {
    name: `${a.name} + ${b.name}`,
    begin: async (fleet) => {
      await Promise.all([a.begin(fleet), b.begin(fleet)]);
    },
    end: async (fleet) => {
      await Promise.all([a.end(fleet), b.end(fleet)]);
    },
  };
}

function listScenarios(): Scenario[] {
  if (!values.pairs) return SCENARIOS;
  const [, ...faults] = SCENARIOS;
  return faults.flatMap((a, index) =>
    faults.slice(index + 1).map((b) => combineScenarios(a, b))
  );
}

async function runScenario(scenario: Scenario): Promise<Result> {
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
): Promise<Result> {
  const load = new Load(fleet);
  await sleep(WARM_UP_MS + BEFORE_MS);
  const began = Date.now();
  await scenario.begin(fleet);
  const watch = new Watch(fleet);
  await sleep(FAULT_MS - (Date.now() - began));
  const ended = Date.now();
  await scenario.end(fleet);
  await sleep(AFTER_MS);
  const { seconds, strandedPart } = await watch.finish();
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
  const before = countRan(began - BEFORE_MS, began);
  return {
    name: scenario.name,
    sent: records.length,
    wrong: faults.length,
    faults,
    refusedPart: countVerdict(records, "not_run") / records.length,
    mayHaveRun: countVerdict(records, "may_have_run"),
    ranPerSecond: before,
    throughputDuring: countRan(began, ended) / before,
    causes: countCauses(records),
    secondsUntilService: seconds,
    strandedPart,
  };
}

/**
 * Keeps more requests under way than the endpoints have slots, and sends them
 * to the entries that say that they are ready, as a balancer does.
 */
class Load {
  readonly #fleet: Fleet;
  readonly #records: ClientRecord[] = [];
  readonly #workers: Promise<void>[];
  readonly #checks: NodeJS.Timeout;
  #ready: string[];
  #number = 0;
  #stopped = false;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#ready = [...fleet.entries.values()].map(({ url }) => url);
    this.#checks = setInterval(() => void this.#check(), CHECK_MS);
    this.#workers = Array.from({ length: CONCURRENCY }, () => this.#work());
  }

  async finish(): Promise<ClientRecord[]> {
    this.#stopped = true;
    clearInterval(this.#checks);
    await Promise.all(this.#workers);
    return this.#records;
  }

  async #check(): Promise<void> {
    const urls = [...this.#fleet.entries.values()].map(({ url }) => url);
    const states = await Promise.all(urls.map(isReady));
    this.#ready = urls.filter((_, index) => states[index]);
  }

  async #work(): Promise<void> {
    while (!this.#stopped) {
      const number = this.#number++;
      // Every team comes to every entry, also when their numbers divide.
      const turn = Math.floor(number / TEAMS.length);
      const url = this.#ready[turn % this.#ready.length];
      if (!url) {
        await sleep(CHECK_MS);
        continue;
      }
      const record = await sendRequest({
        url,
        team: TEAMS[number % TEAMS.length],
        queue: "ear-tag-batches",
        runMs: RUN_MS,
        timeoutMs: TIMEOUT_MS,
      });
      this.#records.push(record);
      if (record.verdict !== "ran") await sleep(CHECK_MS);
    }
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const response = await fetch(`${url}/readyz`, {
      signal: AbortSignal.timeout(CHECK_MS),
    });
    return response.ok;
  } catch {
    return false;
  }
}

/** Watches how many endpoints the entries say that they serve. */
class Watch {
  readonly #fleet: Fleet;
  readonly #began = Date.now();
  readonly #samples: { at: number; serving: number }[] = [];
  #done = false;
  readonly #loop: Promise<void>;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#loop = this.#run();
  }

  /** Returns how long endpoints were missing, and the mean missing part. */
  async finish(): Promise<{ seconds: number; strandedPart: number }> {
    this.#done = true;
    await this.#loop;
    const short = this.#samples.filter(({ serving }) => serving < ENDPOINTS);
    const last = short.at(-1)?.at ?? this.#began;
    const missing = this.#samples.reduce(
      (sum, { serving }) => sum + Math.max(0, ENDPOINTS - serving),
      0,
    );
    return {
      seconds: (last - this.#began) / 1_000,
      strandedPart: missing / ENDPOINTS / Math.max(1, this.#samples.length),
    };
  }

  async #run(): Promise<void> {
    while (!this.#done) {
      const at = Date.now();
      const counts = await Promise.all(
        [...this.#fleet.entries.values()].map(countServing),
      );
      const serving = counts.reduce((sum, count) => sum + count, 0);
      this.#samples.push({ at, serving });
      await sleep(WATCH_MS);
    }
  }
}

async function countServing(entry: { url: string }): Promise<number> {
  try {
    const response = await fetch(`${entry.url}/metrics`, {
      signal: AbortSignal.timeout(CHECK_MS),
    });
    const text = await response.text();
    return Number(/^baobabhead_owned_endpoints (\d+)$/m.exec(text)?.[1] ?? 0);
  } catch {
    return 0;
  }
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
    "all endpoints serve after",
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
      process.stdout.write(`FAULT ${name}: ${fault}\n`);
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
const results: Result[] = [];
for (const scenario of listScenarios()) {
  if (values.only && !scenario.name.includes(values.only)) continue;
  const result = await runScenario(scenario);
  process.stderr.write(`${result.name}: ${result.wrong} wrong\n`);
  results.push(result);
}
printResults();
process.exitCode = results.some((result) => result.wrong > 0) ? 1 : 0;
