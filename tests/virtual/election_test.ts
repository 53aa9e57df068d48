import test from "ava";
import { SeededRandom } from "../../packages/base/mod.ts";
import { SilentEventLog } from "../../packages/events/mod.ts";
import {
  Election,
  ElectionHost,
  OWNER_LEASE_MS,
  type OwnerRecord,
  type Ownership,
} from "../../packages/scheduler/mod.ts";
import { MemoryState, MemoryStore, StoreFault } from "./memory_store.ts";
import { LaneClock, VirtualTime } from "./virtual_time.ts";

class Entry extends ElectionHost {
  readonly name: string;
  readonly store: MemoryStore;
  readonly election: Election;
  owner: OwnerRecord | undefined;
  ownership: Ownership | undefined;
  terms: number[] = [];

  constructor(time: VirtualTime, state: MemoryState, name: string) {
    super();
    this.name = name;
    const clock = new LaneClock(time, name);
    this.store = new MemoryStore(state, clock);
    this.election = new Election({
      store: this.store,
      clock,
      random: new SeededRandom(name.charCodeAt(1)),
      log: new SilentEventLog(),
      host: this,
      self: { entry: name, incarnation: `${name}/1`, host: name, port: 1 },
    });
  }

  override handleOwnerChange(record: OwnerRecord | undefined): void {
    this.owner = record;
  }

  override beginOwnership(ownership: Ownership): void {
    this.ownership = ownership;
    this.terms.push(ownership.record.term);
  }

  override endOwnership(): void {
    this.ownership = undefined;
  }
}

async function startEntries(count: number) {
  const time = new VirtualTime();
  const state = new MemoryState();
  const entries = Array.from(
    { length: count },
    (_, n) => new Entry(time, state, `e${n}`),
  );
  for (const entry of entries) void entry.election.run();
  await time.advance(500);
  const findOwners = () => entries.filter(({ ownership }) => ownership);
  return { time, state, entries, findOwners };
}

test("one entry owns the cell, and the others know which", async (t) => {
  const { time, entries, findOwners } = await startEntries(4);
  await time.advance(5_000);
  const [owner, ...more] = findOwners();
  t.is(more.length, 0);
  for (const entry of entries) {
    if (entry !== owner) t.is(entry.owner?.entry, owner.name);
  }
});

test("an owner that dies is replaced once its lease has ended", async (t) => {
  const { time, findOwners } = await startEntries(3);
  const [first] = findOwners();
  time.kill(first.name);
  first.ownership = undefined;
  await time.advance(OWNER_LEASE_MS + 400);
  const [second] = findOwners();
  t.is(second?.terms.at(-1), 2);
});

test("an owner whose process is gone is replaced at once", async (t) => {
  const { time, entries, findOwners } = await startEntries(3);
  const [first] = findOwners();
  const gone = entries.find((entry) => entry !== first)?.owner;
  time.kill(first.name);
  first.ownership = undefined;
  for (const entry of entries) {
    if (entry !== first && gone) entry.election.claimFromDeadOwner(gone);
  }
  await time.advance(200);
  t.is(findOwners().length, 1);
});

test("the fence grows with every owner", async (t) => {
  const { time, findOwners } = await startEntries(3);
  let last = 0;
  for (let n = 0; n < 3; n++) {
    const [owner] = findOwners();
    t.true((owner.ownership?.revision ?? 0) > last);
    last = owner.ownership?.revision ?? 0;
    void owner.election.stepDown("test");
    await time.advance(800);
  }
});

test("a claim whose answer is lost is found out", async (t) => {
  const time = new VirtualTime();
  const state = new MemoryState();
  const entry = new Entry(time, state, "e0");
  entry.store.fault = StoreFault.LostAnswer;
  void entry.election.run();
  await time.advance(3_000);
  entry.store.fault = StoreFault.None;
  await time.advance(3_000);
  t.not(entry.ownership, undefined);
  t.is(
    state.items.get("baobabhead/cell/owner")?.lease,
    entry.ownership?.record.lease,
  );
});

test("an owner that the store refuses gives way to another", async (t) => {
  const { time, entries, findOwners } = await startEntries(3);
  const [first] = findOwners();
  first.store.fault = StoreFault.Busy;
  await time.advance(OWNER_LEASE_MS + 500);
  const others = findOwners().filter((entry) => entry !== first);
  t.is(others.length, 1);
  t.is(entries.length, 3);
});

test("an outage of the whole store changes no owner that it does not forget", async (t) => {
  const { time, entries, state, findOwners } = await startEntries(3);
  const [first] = findOwners();
  for (const entry of entries) entry.store.fault = StoreFault.Silent;
  for (const held of state.leases.values()) held.endsAt += 5_000;
  await time.advance(4_000);
  for (const entry of entries) entry.store.fault = StoreFault.None;
  await time.advance(2_500);
  t.deepEqual(findOwners(), [first]);
});

test("a calm cell costs few calls, also when the store drops its history", async (t) => {
  // Each watch began at the last change of the owner's key, which the store
  // had forgotten after 20 s: it was refused, and read again, five times a s.
  const { time, state, findOwners, entries } = await startEntries(3);
  let calls = 0;
  for (const { store } of entries) {
    const { list, watch } = store;
    store.list = (...args) => (calls++, list.apply(store, args));
    store.watch = (...args) => (calls++, watch.apply(store, args));
  }
  for (let s = 0; s < 30; s++) {
    state.revision++;
    state.historyFrom = state.revision - 2;
    await time.advance(1_000);
  }
  t.is(findOwners().length, 1);
  // Two entries watch, each at most once in 3 s, and read again when refused.
  t.true(calls <= 2 * 30, String(calls));
});
