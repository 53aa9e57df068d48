import { Buffer } from "node:buffer";
import test from "ava";
import fc from "fast-check";
import {
  decodeHeader,
  encodeHeader,
  FormatError,
  readBodyText,
  splitText,
} from "../../packages/base/mod.ts";
import {
  type KeyValueStore,
  MeteredStore,
  requireText,
} from "../../packages/storage/mod.ts";
import {
  decodeSnapshot,
  findSnapshots,
  formatSegmentNumber,
  SNAPSHOT_PREFIX,
  splitSnapshot,
} from "../../packages/journal/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import { EtcdStore } from "../../packages/platform/mod.ts";
import { PlatformStore } from "../../platform/key_value_store.ts";
import { listen, sendJson } from "../standins/http_server.ts";
import { StoreStandIn } from "../standins/job_platform.ts";
import { MemoryStore, MemoryStoreState } from "../virtual/memory_store.ts";
import { ProcessClock, VirtualTime } from "../virtual/virtual_time.ts";

const HOST = "127.59.2.1";
const PORT = 7_400;

/** Texts that a decoder may take for something else than data. */
const SPECIAL = ["\ufeff", "𠮷", "\u0000", "\u2028", "\ufffd", "é", "\n"];

/** Well-formed texts, often with special code points at each place. */
const anyText = fc.array(
  fc.oneof(fc.constantFrom(...SPECIAL), fc.string({ unit: "binary" })),
  { maxLength: 12 },
).map((pieces) => pieces.join(""));

/** Any text that callers can send in JSON, also with halves of surrogate pairs. */
const anyPayload = fc.array(
  fc.oneof(anyText, fc.constantFrom("\ud800", "\udc00")),
  { maxLength: 6 },
).map((pieces) => pieces.join(""));

/** Writes parts below a prefix of their own, and reads them in each way. */
async function copyParts(
  store: KeyValueStore,
  { prefix, parts }: { prefix: string; parts: string[] },
) {
  const { revision: after } = await store.list(prefix);
  const puts = parts.map((value, n) => ({
    key: `${prefix}${String(n).padStart(4, "0")}`,
    value,
  }));
  await store.commit({ expected: [], deletes: [], puts });
  const read = puts.map(async ({ key }) => (await store.get(key))?.value);
  const { changes } = await store.watch(prefix, { after, waitMs: 100 });
  return {
    got: await Promise.all(read),
    listed: (await store.list(prefix)).items.map(({ value }) => value),
    watched: changes.map(({ value }) => value),
  };
}

async function openPlatformStore(port: number) {
  const standIn = new StoreStandIn();
  await standIn.start({ host: HOST, port });
  const address = `${HOST}:${port}`;
  const platformStore = new PlatformStore({ address, localAddress: HOST });
  const store = new MeteredStore(platformStore, {
    metrics: new Metrics(),
    now: () => performance.now(),
  });
  const close = async () => {
    await store.close();
    standIn.stop();
  };
  return { standIn, store, close };
}

function openMemoryStore() {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, "a");
  const store = new MemoryStore(new MemoryStoreState(), clock);
  let isOpen = true;
  const advance = async () => {
    while (isOpen) await time.advance(20);
  };
  const isClosed = advance();
  const close = () => {
    isOpen = false;
    return isClosed;
  };
  return Promise.resolve({ store, close });
}

// Guards against a stored text that lacks a byte order mark after it was read: a part of
// a snapshot that began with one altered the payload of a job after a change of owner.
for (
  const [name, open] of Object.entries({
    "the platform's store": () => openPlatformStore(PORT),
    "the store of the tests": openMemoryStore,
  })
) {
  test(`${name} returns each text as it was written`, async (t) => {
    const { store, close } = await open();
    t.teardown(close);
    let runs = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.oneof(anyText, anyPayload.map((text) => JSON.stringify([text]))),
        fc.integer({ min: 4, max: 9 }),
        async (text, maxBytes) => {
          // A transaction holds at most 32 entries.
          const parts = splitText(text, maxBytes).slice(0, 30);
          const copies = await copyParts(store, {
            prefix: `parts-${runs++}/`,
            parts,
          });
          t.deepEqual(copies.got, parts);
          t.deepEqual(copies.listed, parts);
          t.deepEqual(copies.watched, parts);
        },
      ),
      { numRuns: 150, examples: [["\ufeffa\ufeff\ufeffb", 4], ["", 4]] },
    );
  });
}

// Guards against a snapshot that is altered between its encoder and its decoder, and
// against keys that the version before reads in another way.
test("a snapshot in parts of a few bytes is what was written", async (t) => {
  const { store, close } = await openPlatformStore(PORT + 2);
  t.teardown(close);
  let segment = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(anyPayload, { maxLength: 4 }),
      fc.integer({ min: 4, max: 9 }),
      async (payloads, maxBytes) => {
        segment++;
        const text = JSON.stringify(payloads);
        const parts = splitSnapshot({ segment, text }, maxBytes);
        for (const put of parts) {
          await store.commit({ expected: [], puts: [put], deletes: [] });
        }
        const keyText = formatSegmentNumber(segment);
        const prefix = `${SNAPSHOT_PREFIX}${keyText}/`;
        const { items } = await store.list(prefix);
        const [snapshot] = findSnapshots(items);
        t.is(snapshot.segment, segment);
        t.deepEqual(decodeSnapshot(snapshot), payloads);
        for (const [n, { key }] of parts.entries()) {
          t.is(Number(key.split("-").at(-1)), parts.length);
          t.is(Number(key.split("/").at(-1)?.split("-")[0]), n);
        }
      },
    ),
    { numRuns: 60, examples: [[["\ufeff\ufeffa\ud800\ufeff"], 4], [[""], 4]] },
  );
});

// Guards against a key that another one is taken for, because a mark in it was dropped.
test("a byte order mark in a header is data, at the start of a body it is not", async (t) => {
  const key = "\ufeffkey";
  t.is(decodeHeader(encodeHeader(key)), key);
  const bytes = Buffer.from('\ufeff{"a":"\ufeffb"}');
  const arrayBuffer = () => Promise.resolve(Uint8Array.from(bytes).buffer);
  t.is(await readBodyText({ arrayBuffer }), '{"a":"\ufeffb"}');
});

// Guards against a record that is taken for an empty one.
test("a stored value that is not UTF-8 is marked, and its key is named", async (t) => {
  const { standIn, store, close } = await openPlatformStore(PORT + 1);
  t.teardown(close);
  const key = "records/a";
  const value = Buffer.from([0x7b, 0xff]).toString("base64");
  standIn.items.set(key, { key, value, rev: 5, create_rev: 5, lease: 0 });
  const item = await store.get(key);
  t.true(item?.isUnreadable);
  t.throws(() => requireText(item!), { message: /records\/a/ });
});

// Guards against a record of direct work that is taken with replacement characters.
test("EtcdStore returns values as they were written, or names the key", async (t) => {
  const encode = (bytes: Buffer) => bytes.toString("base64");
  let value = Buffer.from("\ufeffa");
  const server = await listen({ host: HOST, port: PORT + 3 }, (_, response) => {
    const key = encode(Buffer.from("/t/a"));
    const kvs = [{ key, value: encode(value), mod_revision: "7" }];
    sendJson(response, {
      header: { revision: "7" },
      responses: [{ response_range: { kvs } }],
    });
  });
  t.teardown(() => server.close());
  const url = `http://${HOST}:${PORT + 3}`;
  const store = new EtcdStore({ url, timeoutMs: 500 });
  t.teardown(() => store.close());
  const { ranges } = await store.read([{ prefix: "/t/" }]);
  t.is(ranges[0][0].value, "\ufeffa");
  value = Buffer.from([0x7b, 0xff, 0x7d]);
  await t.throwsAsync(store.read([{ prefix: "/t/" }]), {
    instanceOf: FormatError,
    message: /\/t\/a/,
  });
});
