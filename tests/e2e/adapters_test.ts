import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { Buffer } from "node:buffer";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import test from "ava";
import {
  NotSentError,
  UnknownEffectError,
  WorkKind,
} from "../../packages/base/mod.ts";
import {
  HttpEndpointClient,
  TaskResultKind,
} from "../../packages/endpoints/mod.ts";
import { EtcdStore, HttpVmList } from "../../packages/platform/mod.ts";
import { postJson } from "../harness/fleet.ts";

const HOST = "127.45.0.1";
const ENDPOINT = { id: "w1", address: "127.45.1.1:8000" };
const VM = {
  id: "w1",
  role: "endpoint",
  domain: "norte",
  rack: "r1",
  state: "live",
  address: ENDPOINT.address,
  size: { cores: 8, memoryMb: 1_000, accelerators: 0 },
  slots: 8,
  connections: 60,
};

const directory = mkdtempSync(join(tmpdir(), "adapters-"));
const vmsFile = join(directory, "vms.json");
writeFileSync(vmsFile, JSON.stringify([VM]));
const children: ChildProcess[] = [];

async function startStandIn(name: string, args: string[]): Promise<void> {
  const child = spawn(process.execPath, [
    `dist/tests/standins/${name}.js`,
    ...args,
  ], { stdio: ["ignore", "pipe", "inherit"] });
  children.push(child);
  await new Promise((resolve) => child.stdout!.once("data", resolve));
}

test.before(async () => {
  await startStandIn("platform", [HOST, "2379", "2380", vmsFile]);
  await startStandIn("endpoint_host", ["norte", vmsFile, HOST, "3000"]);
});

test.after.always(() => {
  for (const child of children) child.kill("SIGKILL");
});

const setPlatformFaults = (faults: unknown) =>
  postJson(`http://${HOST}:2379/control`, faults);

test.serial("EtcdStore commits if the compares hold and reads by revision", async (t) => {
  const store = new EtcdStore({ url: `http://${HOST}:2379`, timeoutMs: 500 });
  t.teardown(() => store.close());
  const compares = [{ key: "/t/a", modRevision: 0 }];
  const puts = [{ key: "/t/a", value: "one" }];
  const firstCommit = await store.commit({ compares, puts });
  t.true(firstCommit.succeeded);
  t.false((await store.commit({ compares, puts })).succeeded);
  const prefix = "/t/";
  const allItems = await store.read([{ prefix }]);
  t.deepEqual(allItems.ranges[0].map(({ value }) => value), ["one"]);
  const minModRevision = allItems.revision + 1;
  const newerItems = await store.read([{ prefix, minModRevision }]);
  t.deepEqual(newerItems.ranges, [[]]);
});

test.serial("EtcdStore reports whether a failed call can have taken effect", async (t) => {
  const store = new EtcdStore({ url: `http://${HOST}:2379`, timeoutMs: 500 });
  t.teardown(() => store.close());
  await setPlatformFaults({ loseAnswers: 1 });
  const compares = [{ key: "/t/b", modRevision: 0 }];
  const puts = [{ key: "/t/b", value: "kept" }];
  await t.throwsAsync(() => store.commit({ compares, puts }), {
    instanceOf: UnknownEffectError,
  });
  const read = await store.read([{ prefix: "/t/b" }]);
  t.is(read.ranges[0][0].value, "kept");
  await setPlatformFaults({ slowMs: 900 });
  await t.throwsAsync(() => store.read([{ prefix: "/t/" }]), {
    instanceOf: UnknownEffectError,
  });
  await setPlatformFaults({ slowMs: 0 });
  const unreachableStore = new EtcdStore({
    url: `http://${HOST}:9`,
    timeoutMs: 500,
  });
  t.teardown(() => unreachableStore.close());
  await t.throwsAsync(() => unreachableStore.commit({ compares, puts }), {
    instanceOf: NotSentError,
  });
});

test.serial("the stand-in for etcd expires leases and streams changes to watches", async (t) => {
  const url = `http://${HOST}:2379`;
  const encode = (text: string) => Buffer.from(text).toString("base64");
  const post = (path: string, body: unknown) => postJson(url + path, body);
  const watch = await fetch(`${url}/v3/watch`, {
    method: "POST",
    body: JSON.stringify({ create_request: { key: encode("/t/lease") } }),
  });
  const reader = watch.body!.getReader();
  t.teardown(() => reader.cancel());
  const lease = await post("/v3/lease/grant", { TTL: 1 }) as { ID: string };
  const put = { key: encode("/t/lease"), value: "", lease: lease.ID };
  await post("/v3/kv/txn", { success: [{ request_put: put }] });
  await post("/v3/lease/keepalive", { ID: lease.ID });
  let receivedEvents = "";
  while (!receivedEvents.includes("DELETE")) {
    receivedEvents += new TextDecoder().decode((await reader.read()).value);
  }
  t.regex(receivedEvents, /created.*\n.*PUT.*\n.*DELETE/);
});

test.serial("HttpVmList fetches the full list and then only the changes", async (t) => {
  const url = `http://${HOST}:2380`;
  const list = new HttpVmList({ url, domain: "norte", timeoutMs: 500 });
  t.teardown(() => list.close());
  const fullList = await list.fetchChanges(0);
  t.true(fullList.complete);
  t.deepEqual(fullList.changed.map(({ id }) => id), ["w1"]);
  await setPlatformFaults({ leavingVms: ["w1"] });
  const changed = await list.fetchChanges(fullList.revision);
  t.deepEqual(changed.changed.map(({ state }) => String(state)), ["leaving"]);
  await setPlatformFaults({ removeVms: ["w1"] });
  const removed = await list.fetchChanges(changed.revision);
  t.deepEqual(removed.removed, ["w1"]);
});

const ANSWER_CASES: [string, Record<string, boolean>, TaskResultKind][] = [
  ["a complete answer", {}, TaskResultKind.Answered],
  ["a refusal", { refusing: true }, TaskResultKind.NotStarted],
  [
    "a connection closed without an answer",
    { loseAnswers: true },
    TaskResultKind.Unknown,
  ],
  ["a truncated answer", { cutAnswers: true }, TaskResultKind.Unknown],
  [
    "an answer for another task",
    { crossAnswers: true },
    TaskResultKind.Unknown,
  ],
];

for (const [name, faults, expected] of ANSWER_CASES) {
  test.serial(`HttpEndpointClient classifies ${name}`, async (t) => {
    const client = new HttpEndpointClient();
    t.teardown(() => client.close());
    const noFaults = {
      refusing: false,
      loseAnswers: false,
      cutAnswers: false,
      crossAnswers: false,
    };
    const endpointFaults = { endpoints: ["w1"], ...noFaults, ...faults };
    await postJson(`http://${HOST}:3000/control`, endpointFaults);
    const result = await client.start(ENDPOINT, {
      id: `task-${expected}-${Object.keys(faults).join()}`,
      labels: { team: "ox", starter: "a/b/c", queue: "q" },
      kind: WorkKind.Batch,
      size: { cores: 1, memoryMb: 1, accelerators: 0 },
      leaseMs: 5_000,
      timeoutMs: 2_000,
      payload: JSON.stringify({ run_ms: 5 }),
    });
    t.is(result.kind, expected);
  });
}

test.serial("HttpEndpointClient reports a refused connection as not started", async (t) => {
  const client = new HttpEndpointClient();
  t.teardown(() => client.close());
  const result = await client.start({ id: "w9", address: `${HOST}:9` }, {
    id: "task-9",
    labels: { team: "ox", starter: "a/b/c", queue: "q" },
    kind: WorkKind.Batch,
    size: { cores: 1, memoryMb: 1, accelerators: 0 },
    leaseMs: 5_000,
    timeoutMs: 2_000,
    payload: "{}",
  });
  t.is(result.kind, TaskResultKind.NotStarted);
});
