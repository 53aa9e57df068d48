import test from "ava";
import type { FakeEndpoint } from "../cell/fake_endpoint.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { OwnerSite } from "./owner_site.ts";

/** Time within which a listed end has to be acknowledged, in ms; the platform's limit. */
const ACKNOWLEDGEMENT_MS = 4_000;
/** Starts a second on one endpoint; the usual load is 4, with bursts of twice that. */
const START_RATES = [4, 8, 16, 32];
const LOAD_MS = 20_000;

/** Returns the numbers of the ends that an endpoint still lists. */
function listNumbers({ unacknowledgedEnds }: FakeEndpoint): number[] {
  return unacknowledgedEnds.map(({ number }) => number);
}

// Guards against ends that are never acknowledged because some start is always unlisted.
for (const perSecond of START_RATES) {
  test(`ends are acknowledged in time under a steady load of ${perSecond} starts a second`, async (t) => {
    const site = new OwnerSite(1, { entries: 1, endpoints: 1 });
    const [entry] = site.entries;
    const [endpoint] = site.endpoints.values();
    await site.time.advance(1_000);
    const listedAt = new Map<number, number>();
    const demand = { milliCores: 10, memoryMb: 1, accelerators: 0 };
    let longestMs = 0;
    let jobs = 0;
    const loadEndsAt = site.time.now + LOAD_MS;
    while (site.time.now < loadEndsAt) {
      entry.submit(makeJob(`j${jobs++}`, [makeStep({ demand })]), () => {});
      await site.time.advance(1_000 / perSecond);
      const numbers = listNumbers(endpoint);
      for (const number of listedAt.keys()) {
        if (!numbers.includes(number)) listedAt.delete(number);
      }
      for (const number of numbers) {
        const since = listedAt.get(number) ?? site.time.now;
        listedAt.set(number, since);
        longestMs = Math.max(longestMs, site.time.now - since);
      }
    }
    t.true(site.checker.starts > perSecond * LOAD_MS / 1_000 / 2);
    t.true(longestMs <= ACKNOWLEDGEMENT_MS, `${longestMs} ms`);
    t.log(`the longest took ${longestMs} ms`);
    t.deepEqual(site.checker.violations, []);
  });
}
