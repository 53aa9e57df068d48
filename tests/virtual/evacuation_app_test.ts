import test from "ava";
import { createEvacuationApp } from "../../packages/scheduler/mod.ts";
import { EndpointIdRecords } from "./endpoint_id_records.ts";
import { MemoryStore, MemoryStoreState, StoreFault } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

const OWN_KEY = "baobabhead/evacuations/zone 1";
const PATH = "/v1/evacuations/zone-1";

function makeSite(isOffered = true) {
  const time = new VirtualTime();
  const state = new MemoryStoreState();
  const clock = new ProcessClock(time, "e0");
  const store = new MemoryStore(state, clock);
  const app = createEvacuationApp({
    store,
    records: new EndpointIdRecords(),
    clock,
    entry: "e0",
    isOffered: () => isOffered,
    listEvacuations: () => Promise.resolve([]),
  });
  const call = async (method: string, path = PATH) => {
    const answer = app.request(path, { method });
    await time.advance(5_000);
    const response = await answer;
    const body = await response.json() as { state?: string };
    return { status: response.status, body };
  };
  return { state, store, call };
}

test("an operator requests an evacuation and withdraws it; repeats change nothing", async (t) => {
  const { state, call } = makeSite();
  const key = "baobabhead/evacuations/zone-1";
  for (let n = 0; n < 2; n++) {
    const { status, body } = await call("PUT");
    t.deepEqual([status, body.state], [200, "requested"]);
    t.is(JSON.parse(state.items.get(key)!.value).entry, "e0");
  }
  for (let n = 0; n < 2; n++) {
    const { status, body } = await call("DELETE");
    t.deepEqual([status, body.state], [200, "withdrawn"]);
    t.false(state.items.has(key));
  }
});

// Guards against an operator who believes that a domain is in use again.
test("a withdrawal says so if the platform still requests the evacuation", async (t) => {
  const { state, call } = makeSite();
  state.put("evacuations/zone-1", "{}", 0);
  await call("PUT");
  const { body } = await call("DELETE");
  t.is(body.state, "requested_by_platform");
  t.true(state.items.has("evacuations/zone-1"));
});

// Guards against a request that is reported as stored when that is not known.
test("without an answer of the store a request is reported as unknown, and as refused if it had no effect", async (t) => {
  const { store, call } = makeSite();
  store.fault = StoreFault.LostAnswer;
  t.is((await call("PUT")).status, 504);
  store.fault = StoreFault.Unavailable;
  t.is((await call("PUT")).status, 503);
});

test("a name with spaces is refused, and everything is if evacuations are not offered", async (t) => {
  const { state, call } = makeSite();
  t.is((await call("PUT", "/v1/evacuations/zone%201")).status, 400);
  t.false(state.items.has(OWN_KEY));
  const other = makeSite(false);
  t.is((await other.call("PUT")).status, 404);
  t.is((await other.call("GET", "/v1/evacuations")).status, 404);
  t.is(other.state.items.size, 0);
});

// Guards against an effect that is reported as unknown because the store refuses the key.
test("a name whose key is too large for the store is rejected", async (t) => {
  const { state, call } = makeSite();
  for (const [letters, expected] of [[59, 200], [60, 400]]) {
    const path = `/v1/evacuations/${encodeURIComponent("牛".repeat(letters))}`;
    t.is((await call("PUT", path)).status, expected);
  }
  t.is([...state.items.keys()].filter((key) => key.includes("牛")).length, 1);
});
