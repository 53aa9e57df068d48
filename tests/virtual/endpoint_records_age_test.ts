import test from "ava";
import { RefusedError } from "../../packages/base/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { ENDPOINT_RECORDS_RETURN_MS } from "../../packages/scheduler/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import type { MemoryStore } from "./memory_store.ts";
import { type OwnerEntry, OwnerSite } from "./owner_site.ts";

const ENDPOINTS = "endpoints/";
/** The longest time for which a smaller room may go unnoticed, in milliseconds. */
const CONTACT_MS = 3_000;

/** Lets reads of endpoints' records fail until the returned function is called. */
function breakEndpointReads(store: MemoryStore): () => void {
  const { list, watch } = store;
  const check = (prefix: string) => {
    if (prefix === ENDPOINTS) throw new RefusedError("Cannot read: status 503");
  };
  store.list = async (prefix, options) => {
    check(prefix);
    const page = await list.call(store, prefix, options);
    check(prefix);
    return page;
  };
  store.watch = async (prefix, options) => {
    check(prefix);
    const result = await watch.call(store, prefix, options);
    check(prefix);
    return result;
  };
  return () => {
    store.list = list;
    store.watch = watch;
  };
}

/** Holds back commits until the returned function is called. */
function holdCommits(store: MemoryStore): () => void {
  const { commit } = store;
  let release = () => {};
  const isReleased = new Promise<void>((resolve) => release = resolve);
  store.commit = async (transaction) => {
    await isReleased;
    return commit.call(store, transaction);
  };
  return () => {
    store.commit = commit;
    release();
  };
}

async function startOwner(): Promise<{ site: OwnerSite; owner: OwnerEntry }> {
  const site = new OwnerSite(1, { entries: 1, endpoints: 2 });
  site.drawEndKind = () => EndKind.Done;
  await site.time.advance(1_000);
  return { site, owner: site.entries[0] };
}

/** Starts an owner that has accepted job `a` and can't store its placements. */
async function startWithUnstoredStarts() {
  const { site, owner } = await startOwner();
  let release = () => {};
  owner.submit(
    makeJob("a", [makeStep({ tasks: 3 })]),
    () => release = holdCommits(owner.store),
  );
  await site.time.advance(100);
  return { site, owner, release };
}

function isCompleted({ role }: OwnerEntry, id: string): boolean {
  return role?.find(id, "norte")?.state === JobState.Completed;
}

// Guards against starts on a room that has shrunk since the records of endpoints were
// read last, while the store accepts commits.
test("nothing starts while the endpoints' records can't be read for longer than the contact time", async (t) => {
  const { site, owner } = await startOwner();
  const mend = breakEndpointReads(owner.store);
  await site.time.advance(CONTACT_MS + 500);
  owner.submit(makeJob("a", [makeStep({ tasks: 3 })]), () => {});
  await site.time.advance(4_000);
  t.is(site.checker.starts, 0);
  mend();
  await site.time.advance(4_000);
  t.true(isCompleted(owner, "a"));
});

test("starts go on while the endpoints' records can't be read for less than the contact time", async (t) => {
  const { site, owner } = await startOwner();
  breakEndpointReads(owner.store);
  await site.time.advance(500);
  owner.submit(makeJob("a", [makeStep({ tasks: 3 })]), () => {});
  await site.time.advance(200);
  t.is(site.checker.starts, 3);
});

test("a calm site always knows its endpoints' records well enough to start tasks", async (t) => {
  const { site, owner } = await startOwner();
  for (let n = 0; n < 40; n++) {
    owner.submit(makeJob(`j${n}`, [makeStep()]), () => {});
    await site.time.advance(130);
    t.is(site.checker.starts, n + 1);
    await site.time.advance(130 + n * 7);
  }
});

// Guards against starts, after an outage of the store, for which the answer to their
// commit arrives before the records of endpoints are read again.
test("starts whose placement is stored after an outage wait for the endpoints' records", async (t) => {
  const { site, owner, release } = await startWithUnstoredStarts();
  const mend = breakEndpointReads(owner.store);
  await site.time.advance(CONTACT_MS + 1_000);
  t.is(site.checker.starts, 0);
  release();
  await site.time.advance(500);
  t.is(site.checker.starts, 0);
  mend();
  // The endpoints of the site never write their records again.
  await site.time.advance(ENDPOINT_RECORDS_RETURN_MS - 100);
  t.is(site.checker.starts, 0);
  await site.time.advance(5_000);
  t.true(isCompleted(owner, "a"));
  t.deepEqual(site.checker.violations, []);
});

// Guards against a paused process that sends what was stored before the pause, on a
// room that shrank during it.
test("an owner that was paused starts nothing before it has read the endpoints' records", async (t) => {
  const { site, owner, release } = await startWithUnstoredStarts();
  site.time.freeze(owner.name);
  release();
  await site.time.advance(CONTACT_MS + 1_000);
  const mend = breakEndpointReads(owner.store);
  site.time.thaw(owner.name);
  await site.time.advance(300);
  t.is(site.checker.starts, 0);
  mend();
  await site.time.advance(6_000);
  t.true(isCompleted(owner, "a"));
  t.deepEqual(site.checker.violations, []);
});
