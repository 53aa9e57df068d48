import test from "ava";
import type { EndpointInfo } from "../../packages/cell/mod.ts";
import { SilentEventLog } from "../../packages/events/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import { EndpointFeed } from "../../packages/scheduler/mod.ts";
import { EndpointIdRecords } from "./endpoint_id_records.ts";
import { MemoryStore, MemoryStoreState, StoreFault } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

/** Makes a store on virtual time, and feeds that read it. */
function makeSite() {
  const time = new VirtualTime();
  const state = new MemoryStoreState();
  const clock = new ProcessClock(time, "a");
  const store = new MemoryStore(state, clock);
  const makeFeed = (
    options: Partial<ConstructorParameters<typeof EndpointFeed>[0]>,
  ) =>
    new EndpointFeed({
      store,
      records: new EndpointIdRecords(),
      clock,
      log: new SilentEventLog(),
      metrics: new Metrics(),
      maxAgeMs: 2_500,
      getStoreFailedAt: () => Number.NEGATIVE_INFINITY,
      onChanged: () => {},
      ...options,
    });
  return { time, state, clock, store, makeFeed };
}

test("hundreds of endpoints: one that leaves while the pages are read is not listed", async (t) => {
  const { time, state, store, makeFeed } = makeSite();
  for (let n = 0; n < 1_200; n++) {
    state.revision++;
    state.put(`endpoints/w${String(n).padStart(4, "0")}`, "", 0);
  }
  const { list } = store;
  let pageCount = 0;
  store.list = async (prefix, options) => {
    const page = await list.call(store, prefix, options);
    if (++pageCount === 1) {
      state.revision++;
      state.remove("endpoints/w0003");
      state.revision++;
      state.put("endpoints/w1200", "", 0);
    }
    return page;
  };
  let listed: EndpointInfo[] = [];
  const feed = makeFeed({ onChanged: (endpoints) => listed = endpoints });
  void feed.run();
  await time.advance(3_000);
  t.true(pageCount > 1);
  t.false(listed.some(({ id }) => id === "w0003"));
  t.true(listed.some(({ id }) => id === "w1200"));
  t.is(listed.length, 1_200);
});

/** Site records in which the value of an endpoint's key is its room. */
class RoomRecords extends EndpointIdRecords {
  override decodeEndpoint(key: string, text: string): EndpointInfo {
    const info = super.decodeEndpoint(key, "0");
    return {
      ...info,
      capacity: { ...info.capacity, milliCores: Number(text) },
    };
  }
}

// Guards against starts on a room that has shrunk: changes that a later page of the
// list already holds are repeated by the watch, in several answers.
test("an older room never replaces a newer one", async (t) => {
  const { time, state, store, makeFeed } = makeSite();
  const setRoom = (key: string, room: number) => {
    state.revision++;
    state.put(key, String(room), 0);
  };
  for (let n = 0; n < 60; n++) {
    setRoom(`endpoints/w${String(n).padStart(4, "0")}`, 8_000);
  }
  const last = "endpoints/w0059";
  const { list, watch } = store;
  let pageCount = 0;
  store.list = async (prefix, options) => {
    const page = await list.call(store, prefix, options);
    if (++pageCount === 1) {
      setRoom(last, 6_000);
      setRoom(last, 2_000);
    }
    return page;
  };
  store.watch = async (prefix, options) => {
    const result = await watch.call(store, prefix, options);
    const [change] = result.changes;
    return change ? { changes: [change], revision: change.revision } : result;
  };
  const rooms: number[] = [];
  const feed = makeFeed({
    records: new RoomRecords(),
    onChanged: (endpoints) => {
      const info = endpoints.find(({ id }) => id === "w0059");
      rooms.push(info?.capacity.milliCores ?? -1);
    },
  });
  void feed.run();
  await time.advance(3_000);
  t.is(pageCount, 2);
  t.deepEqual([...new Set(rooms)], [2_000]);
  setRoom(last, 7_000);
  await time.advance(1_000);
  t.is(rooms.at(-1), 7_000);
});

// Guards against starts on the records from before a suspension of the VM, during which
// the steady clock stands still.
test("records that were read before a suspension are too old to start tasks", async (t) => {
  const { time, clock, store, makeFeed } = makeSite();
  const feed = makeFeed({});
  const checkAge = () =>
    feed.checkAge({ now: clock.now(), wallNow: clock.readWallTime() });
  t.false(checkAge());
  void feed.run();
  await time.advance(1_000);
  t.true(checkAge());
  store.fault = StoreFault.Timeout;
  await time.suspend("a", 10_000);
  t.false(checkAge());
  store.fault = StoreFault.None;
  await time.advance(5_000);
  t.true(checkAge());
});

/** Makes a feed of two endpoints; `listOutdated` tells which records it distrusts. */
function makeOutageSite() {
  const site = makeSite();
  let outdated: ReadonlySet<string> = new Set();
  const writeRecord = (id: string) => {
    site.state.revision++;
    site.state.put(`endpoints/${id}`, "", 0);
  };
  const makeFeed = (options: { getStoreFailedAt?: () => number } = {}) =>
    site.makeFeed({
      ...options,
      onChanged: (_endpoints, unconfirmed) => outdated = unconfirmed,
    });
  for (const id of ["w0", "w1"]) writeRecord(id);
  const listOutdated = () => [...outdated].sort();
  return { ...site, makeFeed, writeRecord, listOutdated };
}

// Guards against starts on the room from before an outage of the store, in which the
// endpoint could not record that it shrank.
test("a record that was not written since an outage is outdated until it is written or its time has passed", async (t) => {
  const { time, store, makeFeed, writeRecord, listOutdated } = makeOutageSite();
  void makeFeed().run();
  await time.advance(2_000);
  store.fault = StoreFault.Timeout;
  await time.advance(5_000);
  store.fault = StoreFault.None;
  await time.advance(1_750);
  t.deepEqual(listOutdated(), ["w0", "w1"]);
  writeRecord("w1");
  await time.advance(400);
  t.deepEqual(listOutdated(), ["w0"]);
  await time.advance(2_000);
  t.deepEqual(listOutdated(), []);
});

test("a record that was written during a failure of this entry's reads is trusted", async (t) => {
  const { time, store, makeFeed, writeRecord, listOutdated } = makeOutageSite();
  void makeFeed().run();
  await time.advance(2_000);
  store.fault = StoreFault.Timeout;
  await time.advance(2_000);
  writeRecord("w0");
  await time.advance(3_000);
  store.fault = StoreFault.None;
  await time.advance(1_750);
  t.deepEqual(listOutdated(), ["w1"]);
});

test("a short failure of reads makes no record outdated that is written with each heartbeat", async (t) => {
  const { time, store, makeFeed, writeRecord, listOutdated } = makeOutageSite();
  void makeFeed().run();
  for (let n = 0; n < 120; n++) {
    store.fault = n % 20 === 7 || n % 20 === 8
      ? StoreFault.Unavailable
      : StoreFault.None;
    if (n % 15 === 0) writeRecord("w0");
    if (n % 15 === 10) writeRecord("w1");
    await time.advance(100);
    t.deepEqual(listOutdated(), [], String(n));
  }
});

for (const failedMsAgo of [500, 4_000]) {
  // As above, for an owner that takes over when the store is back.
  test(`a new owner ${failedMsAgo === 500 ? "distrusts" : "trusts"} the records if the store failed ${failedMsAgo} ms before`, async (t) => {
    const { time, clock, makeFeed, writeRecord, listOutdated } =
      makeOutageSite();
    const failedAt = clock.now() - failedMsAgo;
    void makeFeed({ getStoreFailedAt: () => failedAt }).run();
    await time.advance(100);
    t.deepEqual(listOutdated(), failedMsAgo === 500 ? ["w0", "w1"] : []);
    writeRecord("w0");
    writeRecord("w1");
    await time.advance(400);
    t.deepEqual(listOutdated(), []);
  });
}
