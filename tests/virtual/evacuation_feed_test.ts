import test from "ava";
import { EventCode, EventLog } from "../../packages/events/mod.ts";
import { EvacuationFeed } from "../../packages/scheduler/mod.ts";
import { EndpointIdRecords } from "./endpoint_id_records.ts";
import { MemoryStore, MemoryStoreState, StoreFault } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

/** Oldest requests on which tasks are started, with the bound of 5 s, in ms. */
const MAX_AGE_MS = 4_500;
const OWN = "baobabhead/evacuations/";

/** Keeps the keys of rejected requests. */
class RejectionLog extends EventLog {
  readonly rejected: unknown[] = [];

  override record(code: EventCode, fields: Record<string, unknown> = {}) {
    if (code !== EventCode.EvacuationRejected) return;
    this.rejected.push(fields.subject);
  }
}

/** Makes a feed that has not begun to read, and the store that it reads. */
function makeSite() {
  const time = new VirtualTime();
  const state = new MemoryStoreState();
  const clock = new ProcessClock(time, "a");
  const store = new MemoryStore(state, clock);
  let domains: string[] = [];
  const log = new RejectionLog();
  const feed = new EvacuationFeed({
    store,
    records: new EndpointIdRecords(),
    clock,
    log,
    maxAgeMs: MAX_AGE_MS,
    onChanged: (requests) =>
      domains = requests.map(({ domain }) => domain).sort(),
  });
  const write = (key: string, value: string | undefined = "{}") => {
    state.revision++;
    state.put(key, value, 0);
  };
  const remove = (key: string) => {
    state.revision++;
    state.remove(key);
  };
  const checkAge = () =>
    feed.checkAge({ now: clock.now(), wallNow: clock.readWallTime() });
  const listDomains = () => domains;
  return {
    time,
    state,
    store,
    feed,
    write,
    remove,
    checkAge,
    listDomains,
    rejected: log.rejected,
  };
}

test("a request is known within 100 ms, and so is its withdrawal", async (t) => {
  const { time, feed, write, remove, listDomains } = makeSite();
  void feed.run();
  await time.advance(2_010);
  write("evacuations/a");
  await time.advance(100);
  t.deepEqual(listDomains(), ["a"]);
  write(`${OWN}b`);
  await time.advance(100);
  t.deepEqual(listDomains(), ["a", "b"]);
  remove("evacuations/a");
  await time.advance(100);
  t.deepEqual(listDomains(), ["b"]);
});

// Guards against an owner that starts tasks before it has read every request.
test("tasks may start only once both sources have been listed", async (t) => {
  const { time, store, feed, checkAge } = makeSite();
  const { list } = store;
  store.list = async (prefix, options) => {
    if (prefix === OWN && time.now < 1_800_000_003_000) {
      throw new Error("Cannot read");
    }
    return await list.call(store, prefix, options);
  };
  t.false(checkAge());
  void feed.run();
  await time.advance(2_900);
  t.false(checkAge());
  await time.advance(600);
  t.true(checkAge());
});

// Guards against an outage that releases a domain, and against starts on requests
// that are older than the bound.
test("the last known requests stay in force while the store is down, and age", async (t) => {
  const { time, store, feed, write, checkAge, listDomains } = makeSite();
  write("evacuations/a");
  void feed.run();
  await time.advance(2_000);
  store.fault = StoreFault.Timeout;
  // The watch that fails and the one before it have each lasted up to 0.85 s.
  await time.advance(MAX_AGE_MS - 1_750);
  t.true(checkAge());
  await time.advance(1_750);
  t.false(checkAge());
  t.deepEqual(listDomains(), ["a"]);
  write("evacuations/b");
  store.fault = StoreFault.None;
  await time.advance(2_000);
  t.true(checkAge());
  t.deepEqual(listDomains(), ["a", "b"]);
});

// Guards against a change that is lost with the history.
test("requests are listed again after the history was compacted", async (t) => {
  const { time, state, store, feed, write, remove, listDomains } = makeSite();
  write("evacuations/a");
  void feed.run();
  await time.advance(2_000);
  const { watch } = store;
  store.watch = (prefix, options) => {
    if (state.compactedRevision === 0) {
      remove("evacuations/a");
      write("evacuations/b");
      state.compactedRevision = state.revision;
      state.history = [];
    }
    return watch.call(store, prefix, options);
  };
  await time.advance(2_000);
  t.deepEqual(listDomains(), ["b"]);
});

// Guards against a suspended VM that goes on with the requests from before.
test("requests that were read before a suspension are too old to start tasks", async (t) => {
  const { time, store, feed, checkAge } = makeSite();
  void feed.run();
  await time.advance(1_000);
  t.true(checkAge());
  store.fault = StoreFault.Timeout;
  await time.suspend("a", 10_000);
  t.false(checkAge());
});

// Guards against one malformed key that hides the others.
test("a key without a domain is rejected once; the others count", async (t) => {
  const { time, feed, write, listDomains, rejected } = makeSite();
  write("evacuations/");
  write("evacuations/a", "not JSON");
  void feed.run();
  await time.advance(3_000);
  write("evacuations/b");
  await time.advance(1_000);
  t.deepEqual(listDomains(), ["a", "b"]);
  t.deepEqual(rejected, ["evacuations/"]);
});
