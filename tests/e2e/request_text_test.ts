import { Buffer } from "node:buffer";
import type { AddressInfo } from "node:net";
import test from "ava";
import { decodeHeader, encodeHeader } from "../../packages/base/mod.ts";
import { createJobApp } from "../../packages/scheduler/job_app.ts";
import {
  AnswerKind,
  type CallerRequest,
  type SchedulerNode,
} from "../../packages/scheduler/mod.ts";
import { createCallerApp } from "../../platform/caller_app.ts";
import { PlatformEndpoints } from "../../platform/endpoint_control.ts";
import { PlatformRecords } from "../../platform/site_records.ts";
import { listen, sendJson } from "../standins/http_server.ts";

/** A node that keeps the requests of callers. */
function makeNode() {
  const requests: CallerRequest[] = [];
  const find = (request: CallerRequest) => {
    requests.push(request);
    return Promise.resolve({ kind: AnswerKind.NoSuchJob, detail: "" });
  };
  const node = { callerService: { find } } as unknown as SchedulerNode;
  return { node, requests };
}

// Guards against a valid key that is answered with 401, because its bytes in the header
// were read as Latin-1, or it was cut at a space.
test("a key in any script is read as the configuration states it", async (t) => {
  const { node, requests } = makeNode();
  const apps = [
    createCallerApp(node, { isStopping: () => false }),
    createJobApp(node),
  ];
  const paths = ["/f/1", "/v1/queues/q/jobs/1"];
  const keys = ["clave", "clé", "鍵", "two words", "𠮷"];
  for (const key of keys) {
    const value = encodeHeader(key);
    const headers = { "x-api-key": value, authorization: `Bearer ${value}` };
    for (const [index, app] of apps.entries()) {
      await app.request(paths[index], { headers });
    }
  }
  t.deepEqual(
    requests.map(({ key }) => key),
    keys.flatMap((key) => [key, key]),
  );
  t.is(decodeHeader("cl\xe9"), "clé");
});

// Guards against an endpoint that refuses each order as one for another lifetime, or a
// header that can't be sent.
test("an endpoint gets its own id, in any script", async (t) => {
  const received: string[] = [];
  const server = await listen(
    { host: "127.0.0.1", port: 0 },
    ({ headers }, response) => {
      const bytes = Buffer.from(String(headers["expect-instance"]), "latin1");
      received.push(bytes.toString());
      sendJson(response, {});
    },
  );
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const control = new PlatformEndpoints({ localAddress: "127.0.0.1" });
  t.teardown(() => control.close());
  const ids = ["i-1", "niño-1", "牛-1", "𠮷"];
  for (const id of ids) {
    await control.stop(
      { id, address: `127.0.0.1:${port}`, bornAt: 0 },
      { task: "a.0.0.0", run: 1, fence: 1 },
      { timeoutMs: 1_000 },
    );
  }
  t.deepEqual(received, ids);
});

// Guards against an endpoint that is listed and that no order can reach.
test("a record under an id that no header can carry names no endpoint", (t) => {
  const records = new PlatformRecords();
  const record = JSON.stringify({
    service: "desk",
    addr: "10.0.0.1:1",
    zone: "a",
    state: "ready",
    room: {},
  });
  t.is(records.decodeEndpoint("servers/niño-1", record)?.id, "niño-1");
  for (const id of ["", "i\n1", "\x7f"]) {
    t.is(records.decodeEndpoint(`servers/${id}`, record), undefined);
  }
});

// Guards against a queue that is not found (404), because its prefix was compared as the
// operator wrote it with a path that was decoded.
test("a path begins with the prefix that it was made from", async (t) => {
  const prefixes = [
    "/f/",
    "/niño/",
    "/ni%C3%B1o/",
    "/a b/",
    "/a%20b/",
    "/50%25/",
  ];
  const { node, requests } = makeNode();
  const app = createCallerApp(node, { isStopping: () => false });
  const records = new PlatformRecords();
  for (const prefix of prefixes) {
    const route = { name: "q", host: "h", prefix, service: "desk" };
    const text = JSON.stringify({ version: 1, routes: [route] });
    const [queue] = records.decodeConfig(text).queues;
    await app.request(`http://localhost${prefix}0123456789abcdef`);
    t.is(requests.at(-1)?.path, `${queue.prefix}0123456789abcdef`);
  }
});

// Guards against the address of a host that is cut at its first colon.
test("the host of a request is read without its port", async (t) => {
  const { node, requests } = makeNode();
  const app = createCallerApp(node, { isStopping: () => false });
  for (const host of ["desk", "desk:80", "[::1]", "[::1]:80"]) {
    await app.request("/f/1", { headers: { host } });
  }
  t.deepEqual(
    requests.map(({ host }) => host),
    ["desk", "desk", "[::1]", "[::1]"],
  );
});
