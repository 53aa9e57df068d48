import test from "ava";
import { SeededRandom } from "../../packages/base/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { StoreFault } from "./memory_store.ts";
import { type OwnerEntry, OwnerSite } from "./owner_site.ts";

const SEEDS = 12;
const JOBS = 20;
const STORE_FAULTS = [
  StoreFault.Silent,
  StoreFault.Busy,
  StoreFault.LostAnswer,
  StoreFault.DoneLate,
];

/** Brings about one fault; all of them end when the path heals. */
function strike(site: OwnerSite, random: SeededRandom): void {
  const entry = site.entries[random.drawInt(site.entries.length)];
  const owner = site.entries.find(({ role }) => role) ?? entry;
  const fakes = [...site.endpoints.values()];
  const fake = fakes[random.drawInt(fakes.length)];
  const faults: (() => void)[] = [
    () => site.time.freeze(owner.name),
    () => site.time.thaw(owner.name),
    () => owner.store.fault = STORE_FAULTS[random.drawInt(4)],
    () => entry.store.fault = StoreFault.None,
    () => owner.control.cut.add(fake.id),
    () => owner.control.cut.clear(),
    () => fake.restart(site.time.now),
    () => {
      site.time.kill(owner.name);
      owner.role = undefined;
      site.addEntry();
    },
    () => {
      for (const each of site.entries) each.control.cut.add(fake.id);
    },
  ];
  faults[random.drawInt(faults.length)]();
}

function heal(site: OwnerSite): void {
  site.lostPart = 0;
  for (const { name, store, control } of site.entries) {
    site.time.thaw(name);
    store.fault = StoreFault.None;
    control.cut.clear();
  }
}

function findOwner(site: OwnerSite): OwnerEntry | undefined {
  return site.entries.find(({ role, name }) =>
    role?.isReady && !site.time.isDead(name) && !site.time.isFrozen(name)
  );
}

async function runPath(seed: number) {
  const random = new SeededRandom(seed);
  const site = new OwnerSite(seed + 1, { entries: 3, endpoints: 4 });
  const accepted: string[] = [];
  await site.time.advance(1_000);
  site.lostPart = 0.05;
  for (let n = 0; n < JOBS; n++) {
    const job = makeJob(`j${n}`, [
      makeStep({ tasks: 1 + random.drawInt(5) }),
      makeStep({ tasks: 1 + random.drawInt(3), after: [0] }),
    ]);
    findOwner(site)?.submit(job, () => accepted.push(job.id));
    await site.time.advance(100 + random.drawInt(500));
    if (random.drawInt(3) === 0) strike(site, random);
  }
  heal(site);
  await site.time.advance(60_000);
  const owner = findOwner(site);
  const unfinished = accepted.filter((id) => {
    const state = owner?.role?.find(id, "norte")?.state;
    return state !== JobState.Completed && state !== JobState.Failed;
  });
  return { site, accepted, unfinished };
}

test("no rule breaks while owners die, freeze, are cut off or believe to own", async (t) => {
  let accepted = 0;
  for (let seed = 1; seed <= SEEDS; seed++) {
    const path = await runPath(seed);
    t.deepEqual(path.site.checker.faults, [], `seed ${seed}`);
    t.deepEqual(path.unfinished, [], `seed ${seed}`);
    accepted += path.accepted.length;
  }
  t.true(accepted > SEEDS * JOBS / 3, String(accepted));
});
