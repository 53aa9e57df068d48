/**
 * Guards against callers that end an entry of direct work, fill its memory or its
 * descriptors, keep it from serving others, or keep its planned stop from ending.
 */
import test from "ava";
import { sendRequest } from "../harness/client.ts";
import { type EntryProcess, Fleet } from "../harness/fleet.ts";
import { sleep } from "../standins/http_server.ts";
import {
  FEW_DESCRIPTORS,
  HEAP_MB,
  MAX_FEW_DESCRIPTORS,
  MAX_IDLE_DESCRIPTORS,
  MEMORY_MB,
  SETTLE_MS,
  TEST_TIMEOUT_MS,
} from "./constants.ts";
import { pressWith } from "./crowd.ts";
import type { CrowdOptions } from "./crowd_host.ts";
import {
  countDescriptors,
  isRunning,
  measureMemoryPeak,
} from "./process_state.ts";
import { formatChunk, formatRequest } from "./requests.ts";
import { waitUntil } from "./wait_until.ts";

const ENTRIES = 9;
const ENDPOINTS = 30;
const TEAM = "nadi-childcare";
const QUEUE = "cot-bookings";
const PATH = `/v1/queues/${QUEUE}/work`;
const HOST = { host: "desk.example" };
const BODY_BYTES = 1_048_576;
const WORK = JSON.stringify({ payload: { ref: "1", run_ms: 20 } });

interface Case extends Omit<CrowdOptions, "host" | "port"> {
  name: string;
  descriptors?: number;
  /** Most descriptors that may be open while the crowd presses. */
  maxDescriptors?: number;
}

const CASES: Case[] = [
  {
    name: "GET without a host",
    connections: 100,
    repeated: formatRequest({ path: "/healthz" }),
  },
  {
    name: "GET without a key",
    connections: 100,
    repeated: formatRequest({ path: "/v1/work/1", headers: HOST }),
  },
  {
    name: "POST without a key",
    connections: 100,
    repeated: formatRequest({
      method: "POST",
      path: PATH,
      headers: HOST,
      body: WORK,
    }),
  },
  {
    name: "metrics",
    connections: 20,
    repeated: formatRequest({ path: "/metrics", headers: HOST }),
  },
  {
    name: "a body without its end",
    connections: 300,
    head: formatRequest({
      method: "POST",
      path: PATH,
      headers: { ...HOST, "content-length": String(BODY_BYTES) },
    }) + "x".repeat(BODY_BYTES - 1),
  },
  {
    name: "a body in chunks of one byte",
    connections: 100,
    head: formatRequest({
      method: "POST",
      path: PATH,
      headers: { ...HOST, "transfer-encoding": "chunked" },
    }),
    repeated: formatChunk("x"),
    times: 200_000,
  },
  {
    name: "headers without their end",
    connections: 600,
    head: `POST ${PATH} HTTP/1.1\r\nhost: ${HOST.host}\r\n`,
    descriptors: FEW_DESCRIPTORS,
    maxDescriptors: MAX_FEW_DESCRIPTORS,
  },
];

async function startFleet(
  network: string,
  descriptors?: number,
): Promise<{ fleet: Fleet; entry: EntryProcess; pid: number }> {
  const limits = { heapMb: HEAP_MB, descriptors };
  const fleet = await Fleet.start({ example: "vanua", network, limits });
  const [entry] = fleet.entries.values();
  await fleet.waitForStatus(
    entry,
    (status) => status.entries.length === ENTRIES,
  );
  await fleet.applyConfig(entry);
  await fleet.waitForEndpoints(ENDPOINTS);
  return { fleet, entry, pid: entry.child.pid ?? 0 };
}

function getAddress({ url }: EntryProcess): { host: string; port: number } {
  const { hostname, port } = new URL(url);
  return { host: hostname, port: Number(port) };
}

/** Returns whether an entry runs ordinary work. */
function canServe({ url }: EntryProcess): Promise<boolean> {
  return waitUntil(async () => {
    const { verdict } = await sendRequest({
      url,
      team: TEAM,
      queue: QUEUE,
      runMs: 20,
      timeoutMs: 5_000,
    });
    return verdict === "ran";
  });
}

for (const [n, { name, ...options }] of CASES.entries()) {
  const { connections } = options;
  test.serial(`${name} on ${connections} connections: an entry lives and serves others`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const { descriptors, maxDescriptors, ...crowd } = options;
    const network = `127.${170 + n}`;
    const { fleet, entry, pid } = await startFleet(network, descriptors);
    try {
      await pressWith({ ...crowd, ...getAddress(entry) }, async () => {
        if (maxDescriptors === undefined) return;
        t.true(countDescriptors(pid) <= maxDescriptors, "descriptors");
        t.true(await canServe(entry), "meanwhile");
      });
      t.true(isRunning(pid), "the process runs");
      t.true(await canServe(entry), "an ordinary request");
      await sleep(SETTLE_MS);
      t.true(isRunning(pid), "the process runs later");
      const memoryMb = measureMemoryPeak(pid);
      t.log(`${Math.round(memoryMb)} MB`);
      t.true(memoryMb <= MEMORY_MB, `${memoryMb} MB of memory`);
      t.true(countDescriptors(pid) <= MAX_IDLE_DESCRIPTORS);
    } finally {
      await fleet.stop();
    }
  });
}

for (const name of ["GET without a key", "headers without their end"]) {
  test.serial(`a planned stop ends beside clients: ${name}`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const { head, repeated } = CASES.find((it) => it.name === name)!;
    const network = head ? "127.180" : "127.181";
    const { fleet, entry, pid } = await startFleet(network);
    const crowd = { ...getAddress(entry), connections: 20, head, repeated };
    try {
      await pressWith(crowd, async () => {
        fleet.signal(entry.vm, "SIGTERM");
        t.true(await waitUntil(() => !isRunning(pid)), "the process has ended");
      });
    } finally {
      await fleet.stop();
    }
  });
}
