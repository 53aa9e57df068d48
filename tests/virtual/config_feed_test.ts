import test from "ava";
import { FormatError } from "../../packages/base/mod.ts";
import { SilentEventLog } from "../../packages/events/mod.ts";
import { ConfigFeed, type SiteConfig } from "../../packages/scheduler/mod.ts";
import { NoWaveRecords } from "./no_wave_records.ts";
import { MemoryState, MemoryStore, StoreFault } from "./memory_store.ts";
import { LaneClock, VirtualTime } from "./virtual_time.ts";

class JsonRecords extends NoWaveRecords {
  override readonly configKey = "config";
  override readonly endpointPrefix = "endpoints/";

  override decodeConfig(text: string): SiteConfig {
    if (!text.startsWith("{")) throw new FormatError("Cannot read it");
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
  const clock = new LaneClock(time, "a");
  const state = new MemoryState();
  const store = new MemoryStore(state, clock);
  const wall = { ahead: 0 };
  const feed = new ConfigFeed({
    store,
    records: new JsonRecords(),
    clock,
    wallNow: () => time.now + wall.ahead,
    log: new SilentEventLog(),
  });
  const apply = (text: string) => {
    state.revision++;
    state.put("config", text, 0);
  };
  apply('{"version":3,"keys":["k1","k2"]}');
  void feed.run();
  await time.advance(1_000);
  return { time, store, feed, wall, apply };
}

test("a new version is in force within a second", async (t) => {
  const { time, feed, apply } = await startFeed();
  t.is(feed.findOrganisation("k1")?.name, "norte");
  apply('{"version":5,"keys":["k2"]}');
  await time.advance(1_000);
  t.is(feed.findOrganisation("k1"), undefined);
  t.is(feed.config?.version, 5);
});

test("a version never goes back, and what can't be read changes nothing", async (t) => {
  const { time, feed, apply } = await startFeed();
  apply('{"version":2,"keys":["old"]}');
  await time.advance(1_000);
  apply("garbage");
  await time.advance(1_000);
  t.is(feed.config?.version, 3);
  t.is(feed.findOrganisation("old"), undefined);
});

test("without the store the age of the configuration grows", async (t) => {
  const { time, store, feed } = await startFeed();
  t.true(feed.measureAge(time.now) < 1_000);
  store.fault = StoreFault.Silent;
  await time.advance(4_000);
  t.true(feed.measureAge(time.now) > 3_000);
  store.fault = StoreFault.None;
  await time.advance(3_000);
  t.true(feed.measureAge(time.now) < 1_000);
});

test("a suspended VM does not take its configuration for fresh", async (t) => {
  // The steady clock stood still: a key revoked 10 s ago would have worked.
  const { time, feed, wall } = await startFeed();
  wall.ahead = 10_000;
  t.true(feed.measureAge(time.now) > 9_000);
  await time.advance(1_000);
  t.true(feed.measureAge(time.now) < 1_000);
});
