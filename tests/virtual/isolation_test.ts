import process from "node:process";
import test from "ava";
import fc from "fast-check";
import {
  MAX_CLAIM_DELAY_MS,
  OWNER_LEASE_MS,
  OWNER_READ_INTERVAL_MS,
  OwnershipEndCause,
  STEP_DOWN_PAUSE_MS,
} from "../../packages/scheduler/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { IsolationSite, Trouble } from "./isolation_site.ts";

const STEP_MS = 50;

/** Time in which a free cell is noticed and claimed, and entries begin to run, in ms. */
const CLAIM_MS = OWNER_READ_INTERVAL_MS + MAX_CLAIM_DELAY_MS + 200;

/** Time that a call to a store which did not answer takes to fail, in milliseconds. */
const STORE_CALL_MS = 1_700;

/** Time after which the larger side of a cut has the owner, in milliseconds. */
const MOVE_MS = 3_000;

const SEED = Number(process.env.ISOLATION_SEED ?? 77);

async function startSite(entries: number, endpoints = 0) {
  const site = new IsolationSite(entries, { entries, endpoints });
  await site.time.advance(2_000);
  const owner = site.findOwner();
  if (!owner) throw new Error("no owner");
  return { site, owner, others: site.entries.filter((e) => e !== owner) };
}

function countTerms(site: IsolationSite): number {
  return Number(site.state.items.get("baobabhead/cell/term")?.value);
}

// Guards against an owner that gives up the cell for peers that are dead or frozen, again
// and again: nobody takes it, and the leases of all tasks expire meanwhile.
for (const trouble of [Trouble.Dead, Trouble.Frozen]) {
  test(`an owner whose peers are all ${trouble} keeps the cell, and its tasks run on`, async (t) => {
    const { site, owner, others } = await startSite(3, 4);
    site.drawRunTime = () => 60_000;
    const step = makeStep({ tasks: 4, longRunning: true });
    owner.submit(makeJob("a", [step]), () => {});
    await site.time.advance(1_000);
    t.is(site.checker.starts, 4);
    for (const entry of others) site.setTrouble(entry, trouble);
    await site.time.advance(12_000);
    t.is(site.findOwner(), owner);
    t.is(countTerms(site), 1);
    t.deepEqual(owner.ends, []);
    const runs = [...site.endpoints.values()].map(({ runs }) => runs.size);
    t.is(runs.reduce((a, b) => a + b), 4);
    t.is(site.checker.starts, 4);
  });
}

/** Whom a trouble meets, as drawn by the generator. */
interface Scenario {
  /** Share of the entries in trouble, from 0 to 1. */
  share: number;
  /** The owner is one of them. */
  isOwnerMet: boolean;
  /** Trouble of each of them, repeated. */
  troubles: Trouble[];
  /** Time until all that live are well again, in milliseconds. */
  lastsMs: number;
}

const anyScenario: fc.Arbitrary<Scenario> = fc.record({
  share: fc.double({ min: 0.1, max: 1, noNaN: true }),
  isOwnerMet: fc.boolean(),
  troubles: fc.oneof(
    fc.constantFrom(...Object.values(Trouble)).map((trouble) => [trouble]),
    fc.array(fc.constantFrom(...Object.values(Trouble)), {
      minLength: 2,
      maxLength: 5,
    }),
  ),
  lastsMs: fc.integer({ min: 500, max: 9_000 }),
});

/** Longest time without an owner while some entry could own the cell, in ms. */
async function watchOwners(site: IsolationSite, ms: number): Promise<number> {
  let longestMs = 0;
  let missingMs = 0;
  for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
    await site.time.advance(STEP_MS);
    const owner = site.findOwner();
    const isMissing = !owner && site.entries.some((e) => site.canOwn(e));
    missingMs = isMissing ? missingMs + STEP_MS : 0;
    longestMs = Math.max(longestMs, missingMs);
  }
  return longestMs;
}

function countIsolated(site: IsolationSite): number {
  return site.entries.flatMap(({ ends }) => ends)
    .filter((cause) => cause === OwnershipEndCause.Isolated).length;
}

for (
  const [entries, numRuns] of [[3, 40], [9, 25], [97, 6]]
) {
  // Guards against a cell that is given up to entries which cannot take it, and against an
  // owner that stays on the smaller side of a cut.
  test(`of ${entries} entries any share goes silent: the cell has an owner, given up at most once, on the larger side`, async (t) => {
    t.timeout(180_000);
    await fc.assert(
      fc.asyncProperty(anyScenario, async (scenario) => {
        const { site, owner, others } = await startSite(entries);
        const { share, isOwnerMet, troubles, lastsMs } = scenario;
        const count = Math.ceil(share * entries);
        const met = [...isOwnerMet ? [owner] : [], ...others].slice(0, count);
        for (const [n, entry] of met.entries()) {
          site.setTrouble(entry, troubles[n % troubles.length]);
        }
        const missingMs = await watchOwners(site, lastsMs);
        const current = site.findOwner();
        const able = site.entries.filter((entry) => site.canOwn(entry));
        const near = able.filter((e) => current && site.isSameSide(e, current));
        const isCutOff = (trouble: Trouble) => trouble === Trouble.CutOff;
        if (lastsMs >= MOVE_MS && current && troubles.every(isCutOff)) {
          t.true(
            near.length * 2 >= able.length,
            "the owner is on the larger side",
          );
        }
        if (!isOwnerMet && !troubles.includes(Trouble.CutOff)) {
          t.is(countTerms(site), 1, "silence alone changes no owner");
        }
        for (const entry of met) site.setTrouble(entry, Trouble.None);
        const missingAfterMs = await watchOwners(site, 6_000);
        const boundMs = OWNER_LEASE_MS + STEP_DOWN_PAUSE_MS + CLAIM_MS +
          (troubles.includes(Trouble.CutFromStore) ? STORE_CALL_MS : 0);
        t.true(Math.max(missingMs, missingAfterMs) <= boundMs);
        t.true(countIsolated(site) <= 1, "given up once for one silence");
      }),
      { numRuns, seed: SEED, endOnFailure: entries > 9 },
    );
  });
}

// Guards against an owner that keeps the cell although most entries do not reach it.
test("an owner in the smaller part of a failed network leaves the cell to the larger one", async (t) => {
  for (const entries of [3, 9, 97]) {
    const { site, owner, others } = await startSite(entries);
    const cutCount = Math.ceil(entries / 3);
    for (const entry of [owner, ...others].slice(0, cutCount)) {
      site.setTrouble(entry, Trouble.CutOff);
    }
    await site.time.advance(MOVE_MS);
    const next = site.findOwner();
    t.truthy(next);
    t.false(site.isSameSide(owner, next!));
    t.deepEqual(owner.ends, [OwnershipEndCause.Isolated]);
  }
});

// Guards against callers that wait at an owner which can accept nothing, or hear from it
// what was true before another entry took the cell; and against runs that end meanwhile.
test("an owner that reaches neither the store nor most entries refuses callers and keeps its runs", async (t) => {
  const { site, owner, others } = await startSite(3, 2);
  // The endpoints are cut off with the owner.
  for (const { control } of others) {
    for (const id of site.endpoints.keys()) {
      control.unreachableEndpoints.add(id);
    }
  }
  site.drawRunTime = () => 60_000;
  const step = makeStep({ tasks: 2, longRunning: true });
  owner.submit(makeJob("a", [step]), () => {});
  await site.time.advance(1_000);
  t.true(owner.role?.isReady);
  const { role } = owner;
  site.setTrouble(owner, Trouble.CutFromStore);
  await site.time.advance(1_500);
  t.false(role?.isReady);
  t.true(role?.mayOrder(site.time.now));
  await site.time.advance(11_000);
  t.false(role?.isReady, "also when the silence is forgotten");
  t.is(site.checker.starts, 2);
});

test("an owner whose peers are dead serves callers while the store does not answer it", async (t) => {
  const { site, owner, others } = await startSite(3);
  for (const entry of others) site.setTrouble(entry, Trouble.Dead);
  await site.time.advance(12_000);
  t.true(owner.role?.isReady);
  site.setTrouble(owner, Trouble.CutFromStore);
  await site.time.advance(3_000);
  t.true(owner.role?.isReady);
});

// Guards against an entry in the smaller part that takes the cell of a dead owner and keeps
// it: the entries of the larger part were never linked to it.
test("a new owner that most entries do not reach leaves the cell to them", async (t) => {
  const { site, owner, others } = await startSite(9);
  for (const entry of others.slice(0, 3)) {
    site.setTrouble(entry, Trouble.CutOff);
  }
  // Of the entries that can claim at once, all are cut off.
  for (const entry of others.slice(3)) {
    site.setTrouble(entry, Trouble.CutFromStore);
  }
  site.setTrouble(owner, Trouble.Dead);
  await site.time.advance(1_500);
  const next = site.findOwner();
  t.true(others.slice(0, 3).includes(next!));
  for (const entry of others.slice(3)) site.setTrouble(entry, Trouble.None);
  await site.time.advance(4_000);
  t.true(others.slice(3).includes(site.findOwner()!));
  t.deepEqual(next?.ends, [OwnershipEndCause.Isolated]);
});
