import test from "ava";
import type { EndpointInfo } from "../../packages/cell/mod.ts";
import { SilentEventLog } from "../../packages/events/mod.ts";
import { EndpointFeed } from "../../packages/scheduler/mod.ts";
import { EndpointIdRecords } from "./endpoint_id_records.ts";
import { MemoryStore, MemoryStoreState } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

test("hundreds of endpoints: one that leaves while the pages are read is not listed", async (t) => {
  const time = new VirtualTime();
  const state = new MemoryStoreState();
  const clock = new ProcessClock(time, "a");
  const store = new MemoryStore(state, clock);
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
  const feed = new EndpointFeed({
    store,
    records: new EndpointIdRecords(),
    clock,
    log: new SilentEventLog(),
    onChanged: (endpoints) => listed = endpoints,
  });
  void feed.run();
  await time.advance(3_000);
  t.true(pageCount > 1);
  t.false(listed.some(({ id }) => id === "w0003"));
  t.true(listed.some(({ id }) => id === "w1200"));
  t.is(listed.length, 1_200);
});
