import { Buffer } from "node:buffer";
import test from "ava";
import { UnknownEffectError } from "../../packages/base/mod.ts";
import type { KeyValueStore } from "../../packages/storage/mod.ts";
import { PlatformStore } from "../../platform/key_value_store.ts";
import { PlatformRecords } from "../../platform/site_records.ts";
import { listen } from "../standins/http_server.ts";

const HOST = "127.59.0.1";
const PORT = 7_400;

const CALLS: Record<string, (store: KeyValueStore) => Promise<unknown>> = {
  get: (store) => store.get("k"),
  list: (store) => store.list("k"),
  watch: (store) => store.watch("k", { after: 1, waitMs: 10 }),
  commit: (store) => store.commit({ expected: [], puts: [], deletes: [] }),
  createLease: (store) => store.createLease(1_000),
  renewLease: (store) => store.renewLease(1),
  endLease: (store) => store.endLease(1),
};

/** Answers that no call of the store can use. */
const UNUSABLE = [
  { status: 500, text: "{}" },
  { status: 500, text: "gone wrong" },
  { status: 200, text: "null" },
  { status: 200, text: "[1]" },
  { status: 200, text: '"x"' },
];

/** Status 200 with a body that lacks what the call needs, by call. */
const INCOMPLETE: Record<string, string[]> = {
  get: [
    "{}",
    '{"key":"k","value":"","rev":"7"}',
    '{"key":"k","value":5,"rev":7}',
  ],
  list: [
    "{}",
    '{"items":{},"as_of":5}',
    '{"items":[null],"as_of":5}',
    '{"items":[]}',
  ],
  watch: [
    "{}",
    '{"events":5,"as_of":5}',
    '{"events":[null],"as_of":5}',
    '{"events":[{"key":"k","value":5,"rev":7}],"as_of":5}',
  ],
  commit: ["{}", '{"rev":"5"}', '{"rev":0}'],
  createLease: ["{}", '{"lease":"x"}', '{"lease":0}'],
  renewLease: [],
  endLease: [],
};

// Guards against an owner whose claim has no lease or no fencing token, because an
// answer of the store lacked it, and against a call whose effect is unknown that
// counts as something else.
test("an answer that the store's client cannot use leaves the effect of each call unknown", async (t) => {
  let answer = { status: 200, text: "" };
  const server = await listen({ host: HOST, port: PORT }, (_, response) => {
    response.writeHead(answer.status).end(answer.text);
  });
  t.teardown(() => server.close());
  const store = new PlatformStore({
    address: `${HOST}:${PORT}`,
    localAddress: HOST,
  });
  t.teardown(() => store.close());
  for (const [name, call] of Object.entries(CALLS)) {
    const isBodyUnused = name === "endLease";
    const answers = [
      ...UNUSABLE.filter(({ status }) => status !== 200 || !isBodyUnused),
      ...INCOMPLETE[name].map((text) => ({ status: 200, text })),
    ];
    for (answer of answers) {
      const settled = await call(store).then(
        (value) => `answered ${JSON.stringify(value)}`,
        (error) => error,
      );
      const label = `${name}, ${answer.status} ${answer.text}: ${settled}`;
      t.true(settled instanceof UnknownEffectError, label);
    }
  }
  answer = { status: 404, text: "" };
  await t.notThrowsAsync(store.endLease(1));
  t.false(await store.renewLease(1));
});

// Guards against starts on an endpoint whose record has bytes that cannot be read.
test("a record that is not UTF-8 names no endpoint, the others hold", async (t) => {
  const record = {
    service: "desk",
    addr: "10.0.0.1:80",
    zone: "norte",
    state: "ready",
    room: { cpu: 1_000 },
    labels: ["ni\xf1o"],
  };
  const encodings = ["utf8", "latin1"] as const;
  const items = encodings.map((encoding, index) => ({
    key: `servers/${encoding}`,
    value: Buffer.from(JSON.stringify(record), encoding).toString("base64"),
    rev: index + 1,
  }));
  const address = { host: HOST, port: PORT + 1 };
  const server = await listen(address, (_, response) => {
    response.writeHead(200).end(JSON.stringify({ items, as_of: 2 }));
  });
  t.teardown(() => server.close());
  const store = new PlatformStore({
    address: `${HOST}:${PORT + 1}`,
    localAddress: HOST,
  });
  t.teardown(() => store.close());
  const records = new PlatformRecords();
  const { items: stored } = await store.list("servers/");
  t.deepEqual(
    stored.map(({ key, value }) => records.decodeEndpoint(key, value)?.labels),
    [["ni\xf1o"], undefined],
  );
});
