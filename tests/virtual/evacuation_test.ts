import test from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import type { FakeEndpoint, FakeRun } from "../cell/fake_endpoint.ts";
import { type MemoryStore, StoreFault } from "./memory_store.ts";
import { OwnerSite } from "./owner_site.ts";

/** Bound of the deployments' settings, in milliseconds. */
const EVACUATION_MS = 5_000;
const OWN = "baobabhead/evacuations/";

/** A site whose endpoints `w0`, `w2`, ... are in domain `a`, the others in `b`. */
class DomainSite extends OwnerSite {
  override evacuationMs: number | undefined = EVACUATION_MS;
  /** Times of the starts in domain `a`. */
  readonly startsInA: number[] = [];

  override registerEndpoint(endpoint: FakeEndpoint): void {
    super.registerEndpoint(endpoint);
    const key = `endpoints/${endpoint.id}`;
    const record = JSON.parse(this.state.items.get(key)!.value);
    const domain = isInA(endpoint.id) ? "a" : "b";
    this.state.put(key, JSON.stringify({ ...record, domain }), 0);
  }

  override recordStart(
    endpoint: FakeEndpoint,
    run: FakeRun,
    options: { isLate: boolean },
  ): void {
    super.recordStart(endpoint, run, options);
    if (isInA(endpoint.id)) this.startsInA.push(this.time.now);
  }

  override drawEndKind(): EndKind {
    return EndKind.Done;
  }

  request(key = "evacuations/a"): void {
    this.state.revision++;
    this.state.put(key, "{}", 0);
  }

  withdraw(key = "evacuations/a"): void {
    this.state.revision++;
    this.state.remove(key);
  }

  /** Submits jobs of one task to the current owner, for `ms`. */
  async submitFor(ms: number, intervalMs = 50): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += intervalMs) {
      const owner = this.entries.find(({ role }) => role?.isReady);
      owner?.submit(makeJob(`j${this.jobs.size}`, [makeStep()]), () => {});
      await this.time.advance(intervalMs);
    }
  }

  /** Counts the starts in domain `a` after a time. */
  countStartsAfter(at: number): number {
    return this.startsInA.filter((startedAt) => startedAt > at).length;
  }
}

function isInA(id: string): boolean {
  return Number(id.slice(1)) % 2 === 0;
}

async function makeSite(entries = 1): Promise<DomainSite> {
  const site = new DomainSite(1, { entries, endpoints: 4 });
  await site.time.advance(1_500);
  return site;
}

/** Lets this entry's reads of evacuation requests fail. */
function breakReads(store: MemoryStore): void {
  const { list, watch } = store;
  const check = (prefix: string) => {
    if (prefix.includes("evacuations/")) throw new Error("Cannot read");
  };
  store.list = async (prefix, options) => {
    check(prefix);
    return await list.call(store, prefix, options);
  };
  store.watch = async (prefix, options) => {
    check(prefix);
    return await watch.call(store, prefix, options);
  };
}

for (const key of ["evacuations/a", `${OWN}a`]) {
  test(`nothing starts in a domain later than 1 s after ${key} was written, until it is removed`, async (t) => {
    const site = await makeSite();
    await site.submitFor(1_000);
    t.true(site.startsInA.length > 0);
    site.request(key);
    const requestedAt = site.time.now;
    await site.submitFor(8_000);
    t.is(site.countStartsAfter(requestedAt + 1_000), 0);
    site.withdraw(key);
    const withdrawnAt = site.time.now;
    await site.submitFor(2_000);
    t.true(site.countStartsAfter(withdrawnAt) > 0);
    t.deepEqual(site.checker.violations, []);
  });
}

test("a request that is withdrawn and made again within a second holds", async (t) => {
  const site = await makeSite();
  site.request();
  await site.submitFor(500);
  site.withdraw();
  await site.submitFor(300);
  site.request();
  const requestedAt = site.time.now;
  await site.submitFor(4_000);
  t.is(site.countStartsAfter(requestedAt + 1_000), 0);
});

// Guards against an owner that has not noticed a request, as its reads fail while its
// commits succeed.
test("an owner that can't read requests starts nothing later than the bound", async (t) => {
  const site = await makeSite();
  await site.submitFor(500);
  breakReads(site.entries[0].store);
  site.request();
  const requestedAt = site.time.now;
  await site.submitFor(8_000);
  t.is(site.countStartsAfter(requestedAt + EVACUATION_MS), 0);
});

// Guards against a new owner that starts tasks before it knows the requests.
test("a new owner starts nothing before the first list of requests", async (t) => {
  const site = await makeSite(2);
  await site.submitFor(500);
  const [owner] = site.entries.filter(({ role }) => role);
  const [heir] = site.entries.filter((entry) => entry !== owner);
  breakReads(heir.store);
  site.time.kill(owner.name);
  const killedAt = site.time.now;
  await site.submitFor(8_000);
  t.true(heir.role?.isReady);
  t.is(site.countStartsAfter(killedAt + 1_000), 0);
});

test("a request stays in force during changes of owner", async (t) => {
  const site = await makeSite(3);
  site.request();
  const requestedAt = site.time.now;
  for (let n = 0; n < 3; n++) {
    await site.submitFor(1_500);
    site.entries.find(({ role }) => role)?.handOver();
  }
  await site.submitFor(4_000);
  t.is(site.countStartsAfter(requestedAt + EVACUATION_MS), 0);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a former owner that was paused over the request.
test("an owner that was paused during the request starts nothing in the domain", async (t) => {
  const site = await makeSite(1);
  await site.submitFor(300);
  site.time.freeze(site.entries[0].name);
  site.request();
  const requestedAt = site.time.now;
  await site.time.advance(EVACUATION_MS + 1_000);
  site.time.thaw(site.entries[0].name);
  await site.submitFor(4_000);
  t.is(site.countStartsAfter(requestedAt + EVACUATION_MS), 0);
});

test("a domain that is cut off when its evacuation is requested gets no starts afterwards", async (t) => {
  const site = await makeSite();
  await site.submitFor(1_000, 200);
  t.true(site.startsInA.length > 0);
  const inA = [...site.endpoints.values()].filter(({ id }) => isInA(id));
  for (const endpoint of inA) endpoint.isUnreachable = true;
  site.request();
  const requestedAt = site.time.now;
  await site.submitFor(4_000, 200);
  for (const endpoint of inA) endpoint.isUnreachable = false;
  await site.submitFor(10_000, 200);
  await site.time.advance(10_000);
  t.is(site.countStartsAfter(requestedAt + EVACUATION_MS), 0);
  t.deepEqual(site.checker.violations, []);
  const unfinished = [...site.jobs.keys()].filter((id) =>
    site.entries[0].role?.find(id, "norte")?.state !== JobState.Completed
  );
  t.deepEqual(unfinished, []);
});

test("a store that fails for a while releases no domain", async (t) => {
  const site = await makeSite();
  site.request();
  await site.submitFor(500);
  const requestedAt = site.time.now;
  site.entries[0].store.fault = StoreFault.Unavailable;
  await site.submitFor(4_000);
  site.entries[0].store.fault = StoreFault.None;
  await site.submitFor(8_000);
  t.is(site.countStartsAfter(requestedAt), 0);
});

test("without the bound in the settings no request is read", async (t) => {
  const site = new DomainSite(1, { entries: 1, endpoints: 4 });
  site.evacuationMs = undefined;
  const prefixes = new Set<string>();
  const { store } = site.entries[0];
  const { list, watch } = store;
  store.list = (prefix, options) => {
    prefixes.add(prefix);
    return list.call(store, prefix, options);
  };
  store.watch = (prefix, options) => {
    prefixes.add(prefix);
    return watch.call(store, prefix, options);
  };
  await site.time.advance(1_500);
  site.request();
  const requestedAt = site.time.now;
  await site.submitFor(2_000);
  t.true(site.countStartsAfter(requestedAt) > 0);
  t.deepEqual([...prefixes].filter((name) => name.includes("evacuat")), []);
});
