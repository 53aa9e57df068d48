import test from "ava";
import { FormatError } from "../../packages/base/mod.ts";
import { SilentEventLog } from "../../packages/events/mod.ts";
import { ConfigFeed, type SiteConfig } from "../../packages/scheduler/mod.ts";
import { NoUpkeepRecords } from "./no_upkeep_records.ts";
import { MemoryStore, MemoryStoreState, StoreFault } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

/** Records whose configuration is a JSON object with version and keys. */
class JsonRecords extends NoUpkeepRecords {
  override readonly configKey = "config";
  override readonly endpointPrefix = "endpoints/";

  override decodeConfig(text: string): SiteConfig {
    if (!text.startsWith("{")) {
      throw new FormatError("Cannot read the configuration");
    }
    const { version, keys } = JSON.parse(text);
    const cap = { milliCores: 0, memoryMb: 0, accelerators: 0 };
    return {
      version,
      queues: [],
      organisations: [{ name: "norte", weight: 1, cap, keys }],
      maxBodyBytes: 1_000,
    };
  }

  override decodeEndpoint(): undefined {
    return undefined;
  }
}

async function startFeed() {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, "a");
  const state = new MemoryStoreState();
  const store = new MemoryStore(state, clock);
  const wallClock = { aheadMs: 0 };
  const feed = new ConfigFeed({
    store,
    records: new JsonRecords(),
    clock,
    wallNow: () => time.now + wallClock.aheadMs,
    log: new SilentEventLog(),
  });
  const apply = (text: string) => {
    state.revision++;
    state.put("config", text, 0);
  };
  apply('{"version":3,"keys":["k1","k2"]}');
  void feed.run();
  await time.advance(1_000);
  return { time, store, state, feed, wallClock, apply };
}

test("a new version takes effect within one second", async (t) => {
  const { time, feed, apply } = await startFeed();
  t.is(feed.findOrganisation("k1")?.name, "norte");
  apply('{"version":5,"keys":["k2"]}');
  await time.advance(1_000);
  t.is(feed.findOrganisation("k1"), undefined);
  t.is(feed.config?.version, 5);
});

test("an older version and an unreadable configuration are ignored", async (t) => {
  const { time, feed, apply } = await startFeed();
  apply('{"version":2,"keys":["old"]}');
  await time.advance(1_000);
  apply("garbage");
  await time.advance(1_000);
  t.is(feed.config?.version, 3);
  t.is(feed.findOrganisation("old"), undefined);
});

test("a configuration that does not change is read in full only once", async (t) => {
  const { time, store, feed, apply } = await startFeed();
  let reads = 0;
  const { list } = store;
  store.list = (...args) => (reads++, list.apply(store, args));
  for (let second = 0; second < 20; second++) {
    await time.advance(1_000);
    t.true(feed.measureAge(time.now) < 1_000);
  }
  t.is(reads, 0);
  apply('{"version":7,"keys":["k3"]}');
  await time.advance(200);
  t.is(feed.findOrganisation("k3")?.name, "norte");
  t.is(reads, 0);
});

test("a compacted history does not delay a change of the configuration", async (t) => {
  const { time, feed, apply, state } = await startFeed();
  for (let version = 10; version < 20; version++) {
    apply(`{"version":${version},"keys":["k${version}"]}`);
    state.compactedRevision = state.revision;
    await time.advance(1_000);
    t.is(feed.config?.version, version);
    t.true(feed.measureAge(time.now) < 1_000);
  }
});

test("an unchanged configuration costs few calls although the store drops its history", async (t) => {
  const { time, feed, store, state } = await startFeed();
  let calls = 0;
  const { list, watch } = store;
  store.list = (...args) => (calls++, list.apply(store, args));
  store.watch = (...args) => (calls++, watch.apply(store, args));
  for (let second = 0; second < 30; second++) {
    state.revision++;
    state.compactedRevision = state.revision;
    await time.advance(1_000);
    t.true(feed.measureAge(time.now) < 1_000);
  }
  // A watch every 0.8 s, and a read and a watch after each compaction.
  t.true(calls <= 30 * 4, `${calls} calls`);
});

test("the age of the configuration grows while the store does not answer", async (t) => {
  const { time, store, feed } = await startFeed();
  t.true(feed.measureAge(time.now) < 1_000);
  store.fault = StoreFault.Timeout;
  await time.advance(4_000);
  t.true(feed.measureAge(time.now) > 3_000);
  store.fault = StoreFault.None;
  await time.advance(3_000);
  t.true(feed.measureAge(time.now) < 1_000);
});

test("the age of the configuration includes the time of a suspended VM", async (t) => {
  // The monotonic clock stops during suspension. Without the wall clock, a key
  // revoked 10 s ago would still be accepted.
  const { time, feed, wallClock } = await startFeed();
  wallClock.aheadMs = 10_000;
  t.true(feed.measureAge(time.now) > 9_000);
  await time.advance(1_000);
  t.true(feed.measureAge(time.now) < 1_000);
});
