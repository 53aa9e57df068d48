import { Buffer } from "node:buffer";
import test from "ava";
import { v7 as makeUuid } from "uuid";
import { Site } from "../../tests/virtual/site.ts";
import { createCallerApp } from "./caller_app.ts";

const site = new Site(5);
await site.start();
const [{ node }] = site.entries.values();
const app = createCallerApp(node);

interface Refusal {
  name: string;
  queue?: string;
  key?: string;
  body?: unknown;
  rawBody?: string | Uint8Array<ArrayBuffer>;
  headers?: Record<string, string>;
  status: number;
  cause: string;
  verdict?: string;
  detail: RegExp;
}

const REFUSALS: Refusal[] = [
  {
    name: "malformed JSON",
    rawBody: "{nope",
    status: 400,
    cause: "bad_request",
    detail: /not JSON/,
  },
  {
    // It was passed on with replacement characters in place of the bytes.
    name: "a body that is not UTF-8",
    rawBody: Buffer.from('{"payload": "ni\xf1o"}', "latin1"),
    status: 400,
    cause: "bad_request",
    detail: /not UTF-8/,
  },
  {
    name: "an unknown queue",
    queue: "nowhere",
    status: 404,
    cause: "unknown_queue",
    detail: /no queue named `nowhere`/,
  },
  {
    name: "a queue name that is a property of every object",
    queue: "constructor",
    status: 404,
    cause: "unknown_queue",
    detail: /no queue/,
  },
  {
    name: "no key",
    key: "",
    status: 401,
    cause: "unauthenticated",
    detail: /valid key/,
  },
  {
    name: "a wrong key",
    key: "bbh.ox.wrong",
    status: 401,
    cause: "unauthenticated",
    detail: /valid key/,
  },
  {
    name: "a key whose name is a property of every object",
    key: "bbh.__proto__.x",
    status: 401,
    cause: "unauthenticated",
    detail: /valid key/,
  },
  {
    name: "a body above the queue's limit",
    body: { payload: "x".repeat(11_000) },
    status: 413,
    cause: "body_too_large",
    detail: /at most 10000 bytes/,
  },
  {
    name: "a body above the limit of all queues",
    body: { payload: "x".repeat(2_000_000) },
    status: 413,
    cause: "body_too_large",
    detail: /at most/,
  },
  {
    name: "a negative size",
    body: { cores: -1 },
    status: 400,
    cause: "bad_request",
    detail: /cores/,
  },
  {
    name: "several invalid fields and lists all of them",
    body: { cores: 0, memory_mb: -5, accelerators: 0.5 },
    status: 400,
    cause: "bad_request",
    detail: /cores.*memory_mb.*accelerators/,
  },
  {
    name: "an unknown field",
    body: { colour: "green" },
    status: 400,
    cause: "bad_request",
    detail: /unknown key `colour`/,
  },
  {
    name: "several tasks without the kind gang",
    body: { tasks: 3 },
    status: 400,
    cause: "bad_request",
    detail: /gang/,
  },
  {
    name: "two deadlines",
    body: { deadline: "2030-01-01T00:00:00Z", timeout_ms: 5 },
    status: 400,
    cause: "bad_request",
    detail: /not both/,
  },
  {
    name: "a past deadline",
    body: { deadline: "2020-01-01T00:00:00Z" },
    status: 504,
    cause: "deadline_passed",
    detail: /has passed/,
  },
  {
    name: "a task larger than every endpoint",
    body: { cores: 64 },
    status: 422,
    cause: "impossible",
    detail: /larger than every endpoint: at most 4 cores/,
  },
  {
    name: "a gang with more tasks than the team's limit",
    body: { kind: "gang", tasks: 4 },
    status: 422,
    cause: "impossible",
    detail: /may run 3 tasks/,
  },
  {
    name: "an idempotency key that is not a UUID of version 7",
    headers: { "idempotency-key": "7" },
    status: 400,
    cause: "bad_request",
    detail: /UUID of version 7/,
  },
  {
    name: "a wrong key with an idempotency key of unknown history",
    key: "bbh.ox.wrong",
    headers: { "idempotency-key": makeUuid({ msecs: site.time.now }) },
    status: 401,
    cause: "unauthenticated",
    verdict: "may_have_run",
    detail: /earlier one with the same key may have/,
  },
];

for (const refusal of REFUSALS) {
  test(`refuses ${refusal.name}`, async (t) => {
    const key = refusal.key ?? site.keys.get("ox");
    const path = `/v1/queues/${refusal.queue ?? "all"}/work`;
    const response = await app.request(path, {
      method: "POST",
      headers: { authorization: `Bearer ${key}`, ...refusal.headers },
      body: refusal.rawBody ?? JSON.stringify(refusal.body ?? {}),
    });
    const problem = await response.json() as Record<string, string>;
    t.is(response.status, refusal.status);
    t.is(problem.cause, refusal.cause);
    t.is(problem.verdict, refusal.verdict ?? "not_run");
    t.regex(problem.detail, refusal.detail);
    t.is(Number(problem.status), refusal.status);
    t.regex(
      response.headers.get("content-type") ?? "",
      /application\/problem\+json/,
    );
  });
}

// Guards against a 202 for work that a check refuses: its caller would learn of the
// refusal only by asking.
test("refuses at once with `respond-async`, and answers 202 to work that it accepts", async (t) => {
  const ownSite = new Site(8);
  await ownSite.start();
  const [{ node: ownNode }] = ownSite.entries.values();
  const ownApp = createCallerApp(ownNode);
  const submit = async (body: unknown, key = ownSite.keys.get("ox")) => {
    const response = await ownApp.request("/v1/queues/all/work", {
      method: "POST",
      headers: { authorization: `Bearer ${key}`, prefer: "respond-async" },
      body: JSON.stringify(body),
    });
    const { state } = await response.json() as { state?: string };
    return { status: response.status, state };
  };
  t.is((await submit({ cores: -1 })).status, 400);
  t.is((await submit({}, "bbh.ox.wrong")).status, 401);
  t.is((await submit({ cores: 64 })).status, 422);
  const payload = { ref: "async", runMs: 10 };
  t.deepEqual(await submit({ payload }), { status: 202, state: "pending" });
});

// Guards against `not_run` for a request that may have run: an error can occur
// after the work was sent to an owner.
test("an unexpected error is answered `may_have_run`", async (t) => {
  const brokenNode = Object.create(node, {
    submit: {
      value: () => {
        throw new Error("broken");
      },
    },
  });
  const response = await createCallerApp(brokenNode).request(
    "/v1/queues/all/work",
    { method: "POST", body: "{}" },
  );
  t.is(response.status, 502);
  const problem = await response.json() as { verdict?: string };
  t.is(problem.verdict, "may_have_run");
});

test("hides work from other teams", async (t) => {
  const submitted = site.send([...site.entries.values()][0], {
    team: "ox",
    ref: "hidden",
    runMs: 10,
  });
  await site.time.advance(1_000);
  const getWork = (team: string) =>
    app.request(`/v1/work/${submitted.id}`, {
      headers: { authorization: `Bearer ${site.keys.get(team)}` },
    });
  t.is((await getWork("ox")).status, 200);
  t.is((await getWork("ibis")).status, 404);
});

test("serves health, readiness and metrics", async (t) => {
  await app.request("/v1/queues/all/work", { method: "POST", body: "{" });
  t.is((await app.request("/healthz")).status, 200);
  t.is((await app.request("/readyz")).status, 200);
  const metrics = await (await app.request("/metrics")).text();
  t.regex(metrics, /baobabhead_outcomes_total\{.*cause="bad_request"/);
  t.regex(metrics, /baobabhead_filter_ms\{.*quantile="0.99"/);
});
