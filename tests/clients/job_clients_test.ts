/**
 * Guards against callers that end an entry of stored jobs, fill its memory or its
 * descriptors, or keep it from serving others: requests sent ahead whose answers are not
 * read, bodies and headers without an end, bodies in chunks of one byte.
 */
import test from "ava";
import { EntryPort } from "../soak/entry_process.ts";
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
import { HEADERS, JobClientsSite } from "./job_clients_site.ts";
import { formatChunk, formatRequest } from "./requests.ts";

const LARGEST_BODY_BYTES = 262_144;
const PATH = "/filings/00000000000000f1";
const JOB = JSON.stringify({
  task_spec: "x".repeat(3_700),
  steps: [{ count: 1, cpu: 100, mem_mb: 50, estimate_ms: 100 }],
});
const CHUNKED = { ...HEADERS, "transfer-encoding": "chunked" };

enum Target {
  Owner = "the owner",
  Other = "another entry",
}

interface Case extends Omit<CrowdOptions, "host" | "port"> {
  name: string;
  target: Target;
  port?: EntryPort;
  descriptors?: number;
  /** Most descriptors that may be open while the crowd presses. */
  maxDescriptors?: number;
  /** An ordinary request is also served while the crowd presses. */
  isServedMeanwhile?: boolean;
}

function repeatRequest(
  method: string,
  headers: Record<string, string> = HEADERS,
  body?: string,
): { repeated: string } {
  return { repeated: formatRequest({ method, path: PATH, headers, body }) };
}

const GET = repeatRequest("GET");
const LARGE_HEADERS = { ...HEADERS, "x-filler": "x".repeat(15_000) };
const CHUNKED_JOB = formatChunk(JOB) + formatChunk("");

const CASES: Case[] = [
  { name: "GET", connections: 1, target: Target.Other, ...GET },
  { name: "GET", connections: 20, target: Target.Other, ...GET },
  { name: "GET", connections: 20, target: Target.Owner, ...GET },
  {
    name: "DELETE",
    connections: 100,
    target: Target.Other,
    ...repeatRequest("DELETE"),
  },
  {
    name: "HEAD",
    connections: 50,
    target: Target.Other,
    ...repeatRequest("HEAD"),
  },
  {
    name: "GET without a host",
    connections: 100,
    target: Target.Other,
    ...repeatRequest("GET", {}),
  },
  {
    name: "GET without a key",
    connections: 100,
    target: Target.Other,
    ...repeatRequest("GET", { host: HEADERS.host }),
  },
  {
    name: "GET with an expectation",
    connections: 50,
    target: Target.Other,
    ...repeatRequest("GET", { ...HEADERS, expect: "a-miracle" }),
  },
  {
    name: "POST of a job",
    connections: 100,
    target: Target.Other,
    ...repeatRequest("POST", HEADERS, JOB),
  },
  {
    name: "POST of a job in chunks",
    connections: 100,
    target: Target.Other,
    ...repeatRequest("POST", CHUNKED, CHUNKED_JOB),
  },
  {
    name: "GET with 15 kB of headers",
    connections: 50,
    target: Target.Other,
    ...repeatRequest("GET", LARGE_HEADERS),
  },
  {
    name: "GET, reset in series",
    connections: 50,
    target: Target.Other,
    ...GET,
    resetAfterMs: 20,
  },
  {
    name: "readiness",
    connections: 50,
    target: Target.Other,
    port: EntryPort.Readiness,
    repeated: formatRequest({
      path: "/baobabhead/readiness",
      headers: HEADERS,
    }),
  },
  {
    name: "metrics",
    connections: 20,
    target: Target.Other,
    port: EntryPort.Operations,
    repeated: formatRequest({ path: "/metrics", headers: HEADERS }),
  },
  {
    name: "a body without its end",
    connections: 300,
    target: Target.Other,
    head: formatRequest({
      method: "POST",
      path: PATH,
      headers: { ...HEADERS, "content-length": String(LARGEST_BODY_BYTES) },
    }) + "x".repeat(LARGEST_BODY_BYTES - 1),
  },
  {
    name: "a body in chunks of one byte",
    connections: 100,
    target: Target.Other,
    head: formatRequest({ method: "POST", path: PATH, headers: CHUNKED }),
    repeated: formatChunk("x"),
    times: 200_000,
  },
  {
    name: "headers without their end",
    connections: 600,
    target: Target.Other,
    head: `POST ${PATH} HTTP/1.1\r\nhost: ${HEADERS.host}\r\n`,
    descriptors: FEW_DESCRIPTORS,
    maxDescriptors: MAX_FEW_DESCRIPTORS,
    isServedMeanwhile: true,
  },
];

for (const [n, { name, target, ...options }] of CASES.entries()) {
  const { connections } = options;
  test.serial(`${name} on ${connections} connections to ${target}: it lives and serves others`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const { descriptors, maxDescriptors, port, isServedMeanwhile, ...crowd } =
      options;
    const limits = { heapMb: HEAP_MB, descriptors };
    const site = await JobClientsSite.start(`127.${200 + n}`, { limits });
    try {
      const owner = site.findOwner();
      const entry = target === Target.Owner ? owner : 1 - owner;
      const address = site.getAddress(entry, port);
      await pressWith({ ...crowd, ...address }, async () => {
        if (maxDescriptors !== undefined) {
          t.true(site.countMostDescriptors() <= maxDescriptors, "descriptors");
        }
        if (isServedMeanwhile) t.true(await site.canServe(entry), "meanwhile");
      });
      t.deepEqual(site.listEnded(), [], "processes that ended");
      t.true(await site.canServe(entry), "an ordinary request");
      await sleep(SETTLE_MS);
      const memoryMb = site.measureLargestMemory();
      t.log(`${Math.round(memoryMb)} MB`);
      t.true(memoryMb <= MEMORY_MB, `${memoryMb} MB of memory`);
      t.true(site.countMostDescriptors() <= MAX_IDLE_DESCRIPTORS);
      t.deepEqual(site.listEnded(), [], "processes that ended later");
    } finally {
      await site.stop();
    }
  });
}

test.serial("a planned stop ends beside clients that do not read", async (t) => {
  t.timeout(TEST_TIMEOUT_MS);
  const site = await JobClientsSite.start("127.240", {
    limits: { heapMb: HEAP_MB },
  });
  try {
    const entry = 1 - site.findOwner();
    const address = site.getAddress(entry);
    await pressWith({ ...GET, ...address, connections: 20 }, async () => {
      t.true(await site.canStop(entry), "the process has ended");
    });
    t.true(await site.canServe(1 - entry), "an ordinary request");
  } finally {
    await site.stop();
  }
});
