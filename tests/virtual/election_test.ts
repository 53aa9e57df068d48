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
import { MemoryStore, MemoryStoreState, StoreFault } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

/** Entry that takes part in the election and records its terms. */
class TestEntry extends ElectionHost {
  readonly name: string;
  readonly store: MemoryStore;
  readonly election: Election;
  owner: OwnerRecord | undefined;
  ownership: Ownership | undefined;
  terms: number[] = [];
  claimDelayMs = 0;
  isOwnerReachable = false;

  constructor(time: VirtualTime, state: MemoryStoreState, name: string) {
    super();
    this.name = name;
    const clock = new ProcessClock(time, name);
    this.store = new MemoryStore(state, clock);
    this.election = new Election({
      store: this.store,
      clock,
      random: new SeededRandom(Number(name.slice(1)) + 1),
      log: new SilentEventLog(),
      host: this,
      self: { entry: name, incarnation: `${name}/1`, host: name, port: 1 },
      getClaimDelay: () => this.claimDelayMs,
      isOwnerReachable: () => this.isOwnerReachable,
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
  const state = new MemoryStoreState();
  const entries = Array.from(
    { length: count },
    (_, n) => new TestEntry(time, state, `e${n}`),
  );
  for (const entry of entries) void entry.election.run();
  await time.advance(500);
  const findOwners = () => entries.filter(({ ownership }) => ownership);
  return { time, state, entries, findOwners };
}

test("exactly one entry owns the cell and the other entries follow it", async (t) => {
  const { time, entries, findOwners } = await startEntries(4);
  await time.advance(5_000);
  const [owner, ...otherOwners] = findOwners();
  t.is(otherOwners.length, 0);
  for (const entry of entries) {
    if (entry !== owner) t.is(entry.owner?.entry, owner.name);
  }
});

test("a killed owner is replaced once its lease has expired", async (t) => {
  const { time, findOwners } = await startEntries(3);
  const [firstOwner] = findOwners();
  time.kill(firstOwner.name);
  firstOwner.ownership = undefined;
  await time.advance(OWNER_LEASE_MS + 400);
  const [newOwner] = findOwners();
  t.is(newOwner?.terms.at(-1), 2);
});

test("an owner that is known to be dead is replaced at once", async (t) => {
  const { time, entries, findOwners } = await startEntries(3);
  const [firstOwner] = findOwners();
  const deadOwner = entries.find((entry) => entry !== firstOwner)?.owner;
  time.kill(firstOwner.name);
  firstOwner.ownership = undefined;
  for (const entry of entries) {
    if (entry !== firstOwner && deadOwner) {
      entry.election.claimFromDeadOwner(deadOwner);
    }
  }
  await time.advance(200);
  t.is(findOwners().length, 1);
});

test("an entry whose domain was cut off by resets does not depose a healthy owner", async (t) => {
  const { time, entries, findOwners } = await startEntries(3);
  const [owner] = findOwners();
  const others = entries.filter((entry) => entry !== owner);
  const record = others[0].owner;
  for (const { store } of others) store.fault = StoreFault.Unavailable;
  await time.advance(OWNER_LEASE_MS);
  // The owner and the store refuse connections until the partition ends.
  for (const { election } of others) election.claimFromDeadOwner(record!);
  for (const { store } of others) store.fault = StoreFault.None;
  await time.advance(OWNER_LEASE_MS);
  t.deepEqual(findOwners(), [owner]);
  t.deepEqual(owner.terms, [1]);
});

test("an entry that is linked again to an owner that refused it claims nothing", async (t) => {
  const { time, entries, findOwners } = await startEntries(3);
  const [owner] = findOwners();
  const others = entries.filter((entry) => entry !== owner);
  for (const other of others) {
    other.claimDelayMs = 400;
    other.election.claimFromDeadOwner(other.owner!);
    other.isOwnerReachable = true;
  }
  await time.advance(OWNER_LEASE_MS);
  t.deepEqual(findOwners(), [owner]);
});

test("the fencing token increases with every owner", async (t) => {
  const { time, findOwners } = await startEntries(3);
  let lastFence = 0;
  for (let n = 0; n < 3; n++) {
    const [owner] = findOwners();
    t.true((owner.ownership?.revision ?? 0) > lastFence);
    lastFence = owner.ownership?.revision ?? 0;
    void owner.election.stepDown("test");
    await time.advance(800);
  }
});

test("an entry becomes the owner although the answer to its claim was lost", async (t) => {
  const time = new VirtualTime();
  const state = new MemoryStoreState();
  const entry = new TestEntry(time, state, "e0");
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

test("an ownership whose release was lost is not resumed: the next one has a higher fencing token", async (t) => {
  const { time, findOwners, entries } = await startEntries(1);
  const [owner] = findOwners();
  const firstRevision = owner.ownership!.revision;
  owner.store.fault = StoreFault.AppliedLate;
  owner.store.lateWriteDelayMs = 60_000;
  void owner.election.stepDown("test");
  for (let step = 0; step < 40; step++) {
    // The key remains, as if its lease outlived the store's outage.
    for (const held of owner.store.state.leases.values()) held.endsAt += 100;
    await time.advance(100);
    t.not(owner.ownership?.revision, firstRevision);
  }
  owner.store.fault = StoreFault.None;
  await time.advance(4_000);
  t.is(entries[0].ownership?.record.term, 2);
  t.true(entries[0].ownership!.revision > firstRevision);
});

test("an owner whose store calls are refused is replaced by another entry", async (t) => {
  const { time, entries, findOwners } = await startEntries(3);
  const [firstOwner] = findOwners();
  firstOwner.store.fault = StoreFault.Unavailable;
  await time.advance(OWNER_LEASE_MS + 500);
  const newOwners = findOwners().filter((entry) => entry !== firstOwner);
  t.is(newOwners.length, 1);
  t.is(entries.length, 3);
});

test("an owner whose lease survives a store outage stays the owner", async (t) => {
  const { time, entries, state, findOwners } = await startEntries(3);
  const [firstOwner] = findOwners();
  for (const entry of entries) entry.store.fault = StoreFault.Timeout;
  for (const held of state.leases.values()) held.endsAt += 5_000;
  await time.advance(4_000);
  for (const entry of entries) entry.store.fault = StoreFault.None;
  await time.advance(2_500);
  t.deepEqual(findOwners(), [firstOwner]);
});

test("a calm cell makes few store calls although the store drops its history", async (t) => {
  // The store drops its history after 20 s. A watch from the last change of the
  // owner's key would then be refused and the key read again, five times per
  // second.
  const { time, state, findOwners, entries } = await startEntries(3);
  let calls = 0;
  for (const { store } of entries) {
    const { list, watch } = store;
    store.list = (...args) => (calls++, list.apply(store, args));
    store.watch = (...args) => (calls++, watch.apply(store, args));
  }
  for (let second = 0; second < 30; second++) {
    state.revision++;
    state.compactedRevision = state.revision - 2;
    await time.advance(1_000);
  }
  t.is(findOwners().length, 1);
  // Two entries watch, each at most once every 3 s, and read the key again when
  // a watch is refused.
  t.true(calls <= 2 * 30, String(calls));
});

test("a killed owner: small entries leave the cell to a large one, but not for long", async (t) => {
  const { time, entries, findOwners } = await startEntries(6);
  const [firstOwner] = findOwners();
  const large = entries.find((entry) => entry !== firstOwner)!;
  for (const entry of entries) entry.claimDelayMs = entry === large ? 0 : 400;
  time.kill(firstOwner.name);
  firstOwner.ownership = undefined;
  await time.advance(OWNER_LEASE_MS + 400);
  t.deepEqual(findOwners(), [large]);
  time.kill(large.name);
  large.ownership = undefined;
  await time.advance(OWNER_LEASE_MS + 900);
  t.is(findOwners().length, 1);
});

test("a hundred entries that lose their owner write a few claims, not a hundred", async (t) => {
  const { time, entries, findOwners } = await startEntries(100);
  const [firstOwner] = findOwners();
  time.kill(firstOwner.name);
  firstOwner.ownership = undefined;
  let writes = 0;
  for (const { store } of entries) {
    const { createLease, commit } = store;
    store.createLease = (...args) => (writes++, createLease.apply(store, args));
    store.commit = (...args) => (writes++, commit.apply(store, args));
  }
  await time.advance(OWNER_LEASE_MS + 400);
  t.is(findOwners().length, 1);
  // Two writes for each entry whose claim began in the few milliseconds before
  // the first one was applied.
  t.true(writes <= 60, `${writes} writes`);
});
