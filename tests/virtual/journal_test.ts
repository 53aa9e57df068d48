import test from "ava";
import {
  Journal,
  JournalHost,
  type JournalRecord,
  readJournal,
  RecordKind,
  SEGMENTS_PER_SNAPSHOT,
} from "../../packages/journal/mod.ts";
import { TransactionResult } from "../../packages/storage/mod.ts";
import { MemoryState, MemoryStore, StoreFault } from "./memory_store.ts";
import { LaneClock, VirtualTime } from "./virtual_time.ts";

const OWNER = "owner";

class CountingHost extends JournalHost {
  readonly records: string[] = [];
  lost = "";
  failures = 0;

  override collectSnapshot(): unknown {
    return { records: [...this.records] };
  }

  override endOwnership(reason: string): void {
    this.lost = reason;
  }

  override noteCommitFailure(): void {
    this.failures++;
  }

  override noteCommitSuccess(): void {}
}

async function startJournal() {
  const time = new VirtualTime();
  const clock = new LaneClock(time, "a");
  const state = new MemoryState();
  const store = new MemoryStore(state, clock);
  const host = new CountingHost();
  const claim = await claimOwnership(time, store, 0);
  const journal = new Journal({
    store,
    clock,
    host,
    claim: { key: OWNER, revision: claim },
    lastSegment: 0,
    snapshotSegment: 0,
    obsolete: [],
  });
  return { time, clock, state, store, host, journal, claim };
}

async function claimOwnership(
  time: VirtualTime,
  store: MemoryStore,
  revision: number,
): Promise<number> {
  const claiming = store.commit({
    expected: [{ key: OWNER, revision }],
    puts: [{ key: OWNER, value: "x" }],
    deletes: [],
  });
  await time.advance(50);
  const outcome = await claiming;
  if (outcome.result !== TransactionResult.Applied) throw new Error("claim");
  return outcome.revision;
}

function makeRecord(job: string): JournalRecord {
  return { kind: RecordKind.Cancelled, job, at: 0 };
}

async function load(time: VirtualTime, store: MemoryStore) {
  const loading = readJournal<{ records: string[] }>(store);
  await time.advance(2_000);
  return await loading;
}

function listJobs(records: JournalRecord[]): string[] {
  return records.flatMap((record) =>
    record.kind === RecordKind.Cancelled ? [record.job] : []
  );
}

test("records are committed in groups, in order, before the callback", async (t) => {
  const { time, store, state, journal } = await startJournal();
  const before = state.transactions;
  const told: string[] = [];
  for (let n = 0; n < 20; n++) {
    journal.add([makeRecord(`j${n}`)], () => told.push(`j${n}`));
  }
  t.deepEqual(told, []);
  await time.advance(200);
  t.is(told.length, 20);
  t.is(state.transactions - before, 1);
  const contents = await load(time, store);
  t.deepEqual(listJobs(contents.records), told);
});

test("a commit whose answer is lost is neither lost nor doubled", async (t) => {
  const { time, store, journal, host } = await startJournal();
  let told = 0;
  store.fault = StoreFault.LostAnswer;
  journal.add([makeRecord("a")], () => told++);
  await time.advance(1_000);
  store.fault = StoreFault.None;
  await time.advance(4_000);
  t.is(told, 1);
  t.is(host.lost, "");
  t.deepEqual(listJobs((await load(time, store)).records), ["a"]);
});

test("a commit that takes effect late is applied once", async (t) => {
  const { time, store, journal } = await startJournal();
  store.fault = StoreFault.DoneLate;
  store.lateMs = 1_700;
  journal.add([makeRecord("a")]);
  await time.advance(1_000);
  store.fault = StoreFault.None;
  journal.add([makeRecord("b")]);
  await time.advance(8_000);
  t.deepEqual(listJobs((await load(time, store)).records), ["a", "b"]);
});

test("a late commit of a former owner has no effect", async (t) => {
  const { time, store, state, clock, journal, host, claim } =
    await startJournal();
  store.fault = StoreFault.DoneLate;
  journal.add([makeRecord("a")]);
  await time.advance(500);
  const other = new MemoryStore(state, clock);
  await claimOwnership(time, other, claim);
  await time.advance(500);
  store.fault = StoreFault.None;
  await time.advance(8_000);
  t.not(host.lost, "");
  t.deepEqual(listJobs((await load(time, other)).records), []);
});

test("a snapshot takes the place of the segments before it", async (t) => {
  const { time, store, state, journal, host } = await startJournal();
  const total = SEGMENTS_PER_SNAPSHOT + 40;
  for (let n = 0; n < total; n++) {
    host.records.push(`j${n}`);
    journal.add([makeRecord(`j${n}`)]);
    await time.advance(50);
  }
  await time.advance(2_000);
  const contents = await load(time, store);
  const known = new Set([
    ...contents.snapshot?.records ?? [],
    ...listJobs(contents.records),
  ]);
  t.is(known.size, total);
  t.true(contents.records.length < 50);
  t.true(state.items.size < 60);
});

test("a snapshot that was cut off in the middle is not used", async (t) => {
  const { time, store, journal } = await startJournal();
  journal.add([makeRecord("a")]);
  await time.advance(200);
  store.state.put("baobabhead/snapshot/000000000001/0-2", "{", 0);
  const contents = await load(time, store);
  t.is(contents.snapshot, undefined);
  t.deepEqual(listJobs(contents.records), ["a"]);
});
