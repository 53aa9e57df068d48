import test from "ava";
import { FormatError, SeededRandom } from "../../packages/base/mod.ts";
import { EventCode, EventLog } from "../../packages/events/mod.ts";
import {
  formatSegmentKey,
  formatSegmentNumber,
  MAX_SEGMENT_STEP,
  readJournal,
  RecordKind,
  SNAPSHOT_PREFIX,
  splitSnapshot,
} from "../../packages/journal/mod.ts";
import {
  Election,
  ElectionHost,
  TERM_KEY,
} from "../../packages/scheduler/mod.ts";
import { MemoryStore, MemoryStoreState } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

const SNAPSHOT_SEGMENT = 300;
const SNAPSHOT_TEXT = JSON.stringify({ jobs: ["a", "b"] });

function makeStore() {
  const time = new VirtualTime();
  const state = new MemoryStoreState();
  const clock = new ProcessClock(time, "a");
  return { time, state, clock, store: new MemoryStore(state, clock) };
}

function putSegment(state: MemoryStoreState, segment: number): void {
  const record = { kind: RecordKind.Cancelled, job: `j${segment}`, at: 0 };
  state.put(formatSegmentKey(segment), JSON.stringify([record]), 0);
}

/** Makes the key of a part in the form of earlier versions, without a digest. */
function makePartKey(part: number, segment = SNAPSHOT_SEGMENT): string {
  return `${SNAPSHOT_PREFIX}${formatSegmentNumber(segment)}/${part}-2`;
}

/** Makes a store with a snapshot of two parts and the two segments after it. */
function makeJournal() {
  const site = makeStore();
  site.state.put(makePartKey(0), SNAPSHOT_TEXT.slice(0, 9), 0);
  site.state.put(makePartKey(1), SNAPSHOT_TEXT.slice(9), 0);
  putSegment(site.state, SNAPSHOT_SEGMENT + 1);
  putSegment(site.state, SNAPSHOT_SEGMENT + 2);
  return site;
}

/** Reads the journal; returns the reason if it cannot be read. */
async function read({ time, store }: ReturnType<typeof makeStore>) {
  const pendingRead = readJournal(store, {}).catch((error) => {
    if (error instanceof FormatError) return error.message;
    throw error;
  });
  await time.advance(1_000);
  return await pendingRead;
}

/** Replaces the bytes of an item by some that are not UTF-8. */
function spoil(state: MemoryStoreState, key: string): void {
  const item = { key, value: "", revision: 1, lease: 0, isUnreadable: true };
  state.items.set(key, item);
}

const LAST_SEGMENT_KEY = formatSegmentKey(SNAPSHOT_SEGMENT + 2);

/** Damage of one item, by what it is. */
const DAMAGE: Record<string, (state: MemoryStoreState, key: string) => void> = {
  "not UTF-8": spoil,
  empty: (state, key) => state.put(key, "", 0),
  "cut off": (state, key) =>
    state.put(key, state.items.get(key)!.value.slice(0, -1), 0),
  "another document": (state, key) => state.put(key, "{}", 0),
};

// Guards against an owner that restores a cell without the jobs or ends that a damaged
// item held.
for (const [what, damage] of Object.entries(DAMAGE)) {
  test(`a segment that is ${what} is an error that names its key`, async (t) => {
    const site = makeJournal();
    damage(site.state, LAST_SEGMENT_KEY);
    t.regex(String(await read(site)), new RegExp(LAST_SEGMENT_KEY));
  });

  test(`a part of a snapshot that is ${what} is an error that names its key`, async (t) => {
    const site = makeJournal();
    damage(site.state, makePartKey(1));
    t.regex(String(await read(site)), new RegExp(makePartKey(0).slice(0, -3)));
  });
}

test("a snapshot of an earlier version, without a digest, is read as before", async (t) => {
  t.like(await read(makeJournal()), {
    snapshot: JSON.parse(SNAPSHOT_TEXT),
    snapshotSegment: SNAPSHOT_SEGMENT,
    lastSegment: SNAPSHOT_SEGMENT + 2,
  });
});

/** Adds the snapshot that covers the segments of `makeJournal`, in small parts. */
function addSnapshot(state: MemoryStoreState) {
  const segment = SNAPSHOT_SEGMENT + 2;
  const text = JSON.stringify({ jobs: ["a", "b", "c"] });
  const parts = splitSnapshot({ segment, text }, 8);
  for (const { key, value } of parts) state.put(key, value, 0);
  return parts;
}

// Guards against an altered payload that nothing notices: the text is still JSON.
test("a snapshot whose text was altered gives way to an older one and its segments", async (t) => {
  const site = makeJournal();
  const [{ key, value }] = addSnapshot(site.state);
  site.state.put(key, value.replace("jobs", "job_"), 0);
  const contents = await read(site);
  t.like(contents, {
    snapshot: JSON.parse(SNAPSHOT_TEXT),
    lastSegment: SNAPSHOT_SEGMENT + 2,
  });
  t.regex(String((contents as { damage?: string }).damage), new RegExp(key));
});

test("a snapshot whose text was altered is an error once its segments are deleted", async (t) => {
  const site = makeJournal();
  const [{ key, value }] = addSnapshot(site.state);
  site.state.put(key, value.replace("jobs", "job_"), 0);
  for (const step of [1, 2]) {
    site.state.items.delete(formatSegmentKey(SNAPSHOT_SEGMENT + step));
  }
  t.regex(String(await read(site)), new RegExp(`${key}.*digest`));
});

test("parts of two snapshots of the same segment are not joined", async (t) => {
  const site = makeJournal();
  const parts = addSnapshot(site.state);
  const other = splitSnapshot({ segment: SNAPSHOT_SEGMENT + 2, text: "{}" }, 8);
  site.state.put(other[0].key.replace(/-1$/, "-2"), "{", 0);
  t.like(await read(site), { snapshotSegment: SNAPSHOT_SEGMENT + 2 });
  t.true(parts.length > 2);
});

test("segments without the snapshot before them are an error that names a key", async (t) => {
  const site = makeJournal();
  site.state.items.delete(makePartKey(1));
  t.regex(String(await read(site)), new RegExp(formatSegmentKey(1)));
});

test("parts of a snapshot without anything that they cover are an error", async (t) => {
  const site = makeJournal();
  site.state.items.delete(makePartKey(1));
  for (const step of [1, 2]) {
    site.state.items.delete(formatSegmentKey(SNAPSHOT_SEGMENT + step));
  }
  t.regex(String(await read(site)), new RegExp(makePartKey(0)));
});

test("a missing segment is an error, unless none of its records was acknowledged", async (t) => {
  const site = makeJournal();
  const next = SNAPSHOT_SEGMENT + 2 + MAX_SEGMENT_STEP;
  putSegment(site.state, next);
  t.like(await read(site), { lastSegment: next });
  const tooFar = next + MAX_SEGMENT_STEP + 1;
  putSegment(site.state, tooFar);
  const missingKey = formatSegmentKey(next + 1);
  t.regex(String(await read(site)), new RegExp(missingKey));
});

/** Host that counts its ownerships. */
class CountingHost extends ElectionHost {
  ownerships = 0;

  override handleOwnerChange(): void {}

  override beginOwnership(): void {
    this.ownerships++;
  }

  override endOwnership(): void {}
}

/** Log that keeps the reasons of failed steps of the election. */
class ReasonLog extends EventLog {
  readonly reasons: string[] = [];

  override record(code: EventCode, fields: Record<string, unknown>): void {
    if (code === EventCode.ElectionFailed) {
      this.reasons.push(String(fields.reason));
    }
  }
}

// Guards against runs whose numbers were used before: they begin with the owner's term.
test("no entry claims a cell whose term cannot be read", async (t) => {
  for (const damage of [DAMAGE["not UTF-8"], DAMAGE.empty]) {
    const { time, state, clock, store } = makeStore();
    damage(state, TERM_KEY);
    const host = new CountingHost();
    const log = new ReasonLog();
    const election = new Election({
      store,
      clock,
      random: new SeededRandom(1),
      log,
      host,
      self: { entry: "a", incarnation: "a/1", host: "a", port: 1 },
    });
    void election.run();
    await time.advance(2_000);
    t.is(host.ownerships, 0);
    t.true(log.reasons.some((reason) => reason.includes(TERM_KEY)));
    election.stop();
  }
});
