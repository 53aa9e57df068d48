/**
 * Starts an example site as separate processes on loopback, applies its
 * configuration, sends work from several teams, drains one entry halfway, and
 * checks every answer.
 *
 * Usage: node dist/tools/demo.js [EXAMPLE]
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { build } from "hdr-histogram-js";
import { v7 as makeUuid } from "uuid";
import { checkDirectory, type Configuration } from "../packages/config/mod.ts";
import { WorkKind } from "../packages/base/mod.ts";
import { formatTable } from "../packages/cli/mod.ts";
import { checkHistory } from "../tests/harness/check_history.ts";
import { type ClientRecord, sendRequest } from "../tests/harness/client.ts";
import { type EntryProcess, Fleet } from "../tests/harness/fleet.ts";
import { sleep } from "../tests/standins/http_server.ts";

const REQUEST_COUNT = 400;
const ARRIVAL_INTERVAL_MS = 15;
const TASK_RUN_MS = 120;
const REQUEST_TIMEOUT_MS = 20_000;
const GANG_TASK_COUNT = 12;
const MAX_RETRIES = 8;

interface DemoSite {
  fleet: Fleet;
  configuration: Configuration;
  entries: EntryProcess[];
}

const example = process.argv[2] ?? "guanacaste";
const fleet = await Fleet.start({ example });
let errors: string[];
try {
  errors = await runDemo(fleet);
} finally {
  await fleet.stop();
}
for (const error of errors) print(`ERROR: ${error}`);
print(errors.length === 0 ? "all answers are complete and correct" : "FAILED");
process.exit(errors.length === 0 ? 0 : 1);

async function runDemo(fleet: Fleet): Promise<string[]> {
  const entries = [...fleet.entries.values()];
  const [firstEntry] = entries;
  await fleet.waitForStatus(
    firstEntry,
    (status) => status.entries.length === entries.length,
  );
  print(`${entries.length} entries have joined; applying the configuration`);
  await fleet.applyConfig(firstEntry);
  const vms: { role: string }[] = JSON.parse(
    readFileSync(join(fleet.directory, "vms.json"), "utf8"),
  );
  const endpointCount = vms.filter((vm) => vm.role === "endpoint").length;
  await fleet.waitForEndpoints(endpointCount);
  print(
    `${endpointCount} endpoints are serving; sending ${REQUEST_COUNT} requests`,
  );
  const { configuration } = checkDirectory(join(fleet.directory, "config"));
  const site = { fleet, configuration: configuration!, entries };
  const records = await sendAllRequests(site);
  printTeams(records);
  await printEntries(site);
  const limits = Object.entries(site.configuration.teams).map((
    [name, team],
  ) => [name, team.limit]);
  const history = await fleet.readHistory();
  const unanswered = records.filter((record) => record.status === 0);
  return [
    ...checkHistory(records, history, { teams: Object.fromEntries(limits) }),
    ...unanswered.map((record) =>
      `no answer for ${record.ref}: ${record.detail}`
    ),
    ...listUnexpectedVerdicts(records),
  ];
}

async function sendAllRequests(site: DemoSite): Promise<ClientRecord[]> {
  const requests: Promise<ClientRecord>[] = [];
  const drainingEntry = site.entries[site.entries.length - 1];
  for (let number = 0; number < REQUEST_COUNT; number++) {
    if (number === REQUEST_COUNT / 2) {
      print(`draining ${drainingEntry.vm}`);
      site.fleet.signal(drainingEntry.vm, "SIGTERM");
    }
    if (number === REQUEST_COUNT / 4) requests.push(sendGang(site));
    requests.push(sendWithRetries(site, number));
    await sleep(ARRIVAL_INTERVAL_MS);
  }
  const records = await Promise.all(requests);
  const code = await site.fleet.waitForExit(drainingEntry.vm);
  print(`${drainingEntry.vm} stopped with exit code ${code}`);
  return records;
}

/**
 * Sends a batch request as through a load balancer: retries at the next entry
 * while the answer is 503 or the connection fails, up to `MAX_RETRIES` times.
 */
async function sendWithRetries(
  site: DemoSite,
  number: number,
): Promise<ClientRecord> {
  const queues = Object.entries(site.configuration.queues).filter((
    [, queue],
  ) => queue.kinds.includes(WorkKind.Batch) && !queue.open);
  // Every fourth request goes to the second queue.
  const [queue, { teams }] = queues[number % 4 === 0 ? 1 : 0];
  const team = teams[number % teams.length];
  const idempotencyKey = `${site.entries[0].domain}/${makeUuid()}`;
  const ref = makeUuid();
  for (let retry = 0;; retry++) {
    const entry = site.entries[(number + retry) % site.entries.length];
    const record = await sendRequest({
      url: entry.url,
      team,
      queue,
      ref,
      idempotencyKey,
      runMs: TASK_RUN_MS,
      timeoutMs: REQUEST_TIMEOUT_MS,
      extra: { document: `${queue} ${number}`, head_count: 1 + number % 40 },
    });
    const canRetry = record.status === 503 || record.status === 0;
    if (!canRetry || retry === MAX_RETRIES) return record;
    await sleep(100);
  }
}

async function sendGang(site: DemoSite): Promise<ClientRecord> {
  const [queue, { teams }] = Object.entries(site.configuration.queues).find((
    [, queue],
  ) => queue.kinds.includes(WorkKind.Gang))!;
  return await sendRequest({
    url: site.entries[0].url,
    team: teams[0],
    queue,
    kind: WorkKind.Gang,
    tasks: GANG_TASK_COUNT,
    runMs: TASK_RUN_MS,
    timeoutMs: REQUEST_TIMEOUT_MS,
  });
}

function listUnexpectedVerdicts(records: ClientRecord[]): string[] {
  return records.filter((record) => record.verdict !== "ran").map((record) =>
    `request ${record.ref} ended as ${record.verdict}: ${record.cause} ` +
    record.detail
  );
}

function printTeams(records: ClientRecord[]): void {
  const rows = [[
    "team",
    "sent",
    "ran",
    "refused",
    "overhead median ms",
    "overhead p99 ms",
  ]];
  const teams = [...new Set(records.map((record) => record.team))].sort();
  for (const team of teams) {
    const teamRecords = records.filter((record) => record.team === team);
    const ran = teamRecords.filter((record) => record.verdict === "ran");
    const overheads = build();
    for (const record of ran) {
      const ms = record.endedAt - record.sentAt - TASK_RUN_MS;
      overheads.recordValue(Math.max(0, ms));
    }
    rows.push([
      team,
      String(teamRecords.length),
      String(ran.length),
      String(teamRecords.length - ran.length),
      String(overheads.getValueAtPercentile(50)),
      String(overheads.getValueAtPercentile(99)),
    ]);
  }
  print(formatTable(rows));
}

async function printEntries(site: DemoSite): Promise<void> {
  const rows = [["entry", "owned endpoints", "starts"]];
  for (const entry of site.entries) {
    const dump = await site.fleet.readAdmin(entry, "dump").catch(() => null);
    rows.push([
      entry.vm,
      dump ? String(dump.endpoints.length) : "left",
      dump ? String(dump.starts) : "left",
    ]);
  }
  print(formatTable(rows));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
