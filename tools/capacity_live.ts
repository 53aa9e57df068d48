/**
 * Measures the CPU time, memory and loopback traffic of an example site's
 * processes, idle and under load.
 *
 * Usage: node dist/tools/capacity_live.js [--json]
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { formatTable } from "../packages/cli/mod.ts";
import { type ClientRecord, sendRequest } from "../tests/harness/client.ts";
import { Fleet } from "../tests/harness/fleet.ts";
import { sleep } from "../tests/standins/http_server.ts";

const SETTLE_MS = 4_000;
const IDLE_MS = 10_000;
const LOAD_MS = 10_000;
const REQUEST_RATES = [100, 300, 600];
const TASK_RUN_MS = 50;

/** Totals of all entries. */
interface Usage {
  cpuUs: number;
  rssMib: number;
  /** Bytes on the loopback device since system start. */
  bytes: number;
  /** Reads and commits of the store. */
  calls: number;
}

const { values } = parseArgs({ options: { json: { type: "boolean" } } });
const rows: string[][] = [[
  "state",
  "CPU of an entry",
  "CPU us per request",
  "MiB of an entry",
  "bytes/s of an entry",
  "store calls/s",
  "ran/s",
]];
let fleet: Fleet;
await measureSite({}, async () => {
  await measureState("idle", IDLE_MS, () => Promise.resolve([]));
  for (const rate of REQUEST_RATES) {
    await measureState(`${rate} requests/s`, LOAD_MS, () => sendLoad(rate));
  }
});
await measureSite({ endpoints: "poll_ms = 300" }, async () => {
  await measureState("idle, polls x 10", IDLE_MS, () => Promise.resolve([]));
});
await measureSite({ peers: "heartbeat_ms = 100" }, async () => {
  await measureState(
    "idle, heartbeats x 10",
    IDLE_MS,
    () => Promise.resolve([]),
  );
});
process.stdout.write(
  values.json ? `${JSON.stringify(rows)}\n` : `${formatTable(rows)}\n`,
);

async function measureSite(
  settings: Record<string, string>,
  run: () => Promise<void>,
): Promise<void> {
  fleet = await Fleet.start({ example: "guanacaste", settings });
  try {
    const entries = [...fleet.entries.values()];
    await fleet.waitForStatus(entries[0], (s) => s.entries.length === 9);
    await fleet.applyConfig(entries[0]);
    await fleet.waitForEndpoints(30);
    await sleep(SETTLE_MS);
    await run();
  } finally {
    await fleet.stop();
  }
}

async function measureState(
  state: string,
  durationMs: number,
  load: () => Promise<ClientRecord[]>,
): Promise<void> {
  const before = await readUsage();
  const startedAt = Date.now();
  const records = await load();
  await sleep(Math.max(0, durationMs - (Date.now() - startedAt)));
  const after = await readUsage();
  const seconds = (Date.now() - startedAt) / 1_000;
  const entries = fleet.entries.size;
  const cpuUs = after.cpuUs - before.cpuUs;
  const ranCount = records.filter(({ verdict }) => verdict === "ran").length;
  const cpuFraction = cpuUs / 1e6 / seconds / entries;
  rows.push([
    state,
    `${(cpuFraction * 100).toFixed(2)}%`,
    ranCount === 0 ? "" : (cpuUs / ranCount).toFixed(0),
    (after.rssMib / entries).toFixed(0),
    ((after.bytes - before.bytes) / seconds / entries).toFixed(0),
    ((after.calls - before.calls) / seconds).toFixed(1),
    (ranCount / seconds).toFixed(0),
  ]);
}

async function sendLoad(rate: number): Promise<ClientRecord[]> {
  const entries = [...fleet.entries.values()];
  const teams = ["guanacaste-norte", "coopeganado", "pastos-del-sur"];
  const requests: Promise<ClientRecord>[] = [];
  const startedAt = Date.now();
  while (Date.now() - startedAt < LOAD_MS) {
    const dueCount = (Date.now() - startedAt) * rate / 1_000;
    while (requests.length < dueCount) {
      const number = requests.length;
      requests.push(sendRequest({
        url: entries[number % entries.length].url,
        team: teams[number % teams.length],
        queue: "ear-tag-batches",
        runMs: TASK_RUN_MS,
        timeoutMs: 8_000,
      }));
    }
    await sleep(5);
  }
  return await Promise.all(requests);
}

async function readUsage(): Promise<Usage> {
  const usage: Usage = {
    cpuUs: 0,
    rssMib: 0,
    bytes: readLoopbackBytes(),
    calls: 0,
  };
  for (const entry of fleet.entries.values()) {
    const dump = await fleet.readAdmin(entry, "dump");
    usage.cpuUs += dump.cpu_us.user + dump.cpu_us.system;
    usage.rssMib += dump.memory.rss / 1024 / 1024;
  }
  const { reads, commits } = await fleet.setPlatformFaults({});
  usage.calls = reads + commits;
  return usage;
}

/** Returns the bytes received on the loopback device since system start. */
function readLoopbackBytes(): number {
  const line = readFileSync("/proc/net/dev", "utf8").split("\n").find((text) =>
    text.trim().startsWith("lo:")
  );
  return Number(line?.trim().split(/\s+/)[1] ?? 0);
}
