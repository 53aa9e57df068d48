import test from "ava";
import { SeededRandom } from "../../packages/base/mod.ts";
import { GangStartsName } from "../../packages/cell/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";

/** Time after the first start of a gang until which starts are repeated, in ms. */
const REPEAT_MS = 2_500;

const TASK = "a.0.0.1";
const QUEUE = makeQueue({ advice: TICKETS });
const GANG = makeStep({
  tasks: 3,
  gang: true,
  demand: { milliCores: 8_000, memoryMb: 100, accelerators: 0 },
});

function makeSite(
  gang_starts: GangStartsName,
  { endpoints = 3, afterMs = 3_000 } = {},
): CellSite {
  const policies = { gang_starts };
  const site = new CellSite({ endpoints, afterMs, policies });
  site.advance(200);
  return site;
}

/** Submits a gang and advances to the moment before its starts are sent. */
function placeGang(site: CellSite, queue = QUEUE): void {
  const hasRuns = () =>
    [...site.cell.state.endpoints.values()].some(({ runs }) => runs.size > 0);
  site.submit(makeJob("a", [GANG], { queue }));
  while (!hasRuns()) site.advance(10);
}

// Guards against a gang that is abandoned, with the work of its other members, because
// one of its starts got no answer.
test("the unanswered start of a gang's member is repeated within 2.5 s instead of stopping the gang", (t) => {
  for (const gangStarts of Object.values(GangStartsName)) {
    const site = makeSite(gangStarts);
    placeGang(site);
    const fake = site.findPlacement(TASK);
    fake.isUnreachable = true;
    site.advance(700);
    fake.isUnreachable = false;
    site.advance(REPEAT_MS - 700);
    const isRepeat = gangStarts === GangStartsName.Repeat;
    t.is(site.calls.repeats > 0, isRepeat);
    t.is(site.calls.stops === 0, isRepeat);
    t.is(site.checker.starts === 3, isRepeat);
    if (isRepeat) t.true(fake.runs.has(TASK));
    site.advance(3_000);
    t.is(site.find("a"), JobState.Completed);
    t.is(site.checker.starts === 3, isRepeat);
    t.deepEqual(site.checker.violations, []);
  }
});

// Guards against a task that runs twice: a late copy of the order arrives after the
// repeat was carried out, while the run goes on or after it has ended.
test("a late copy of a repeated start has no effect", (t) => {
  for (const afterMs of [60, 3_000]) {
    const site = makeSite(GangStartsName.Repeat, { afterMs });
    site.delayStarts({ byMs: 1_400 });
    placeGang(site);
    site.advance(500);
    site.delayStarts(undefined);
    site.advance(10_000);
    t.true(site.calls.repeats > 0);
    t.is(site.checker.starts, 3);
    t.is(site.find("a"), JobState.Completed);
    t.deepEqual(site.checker.violations, []);
  }
});

// Guards against repeats that go on after the members have given up waiting, and
// against a gang that never starts because one endpoint does not answer.
test("repeats end 2.5 s after the first start of the gang, or with the ticket", (t) => {
  for (const validMs of [TICKETS.validMs, 5_000]) {
    const site = makeSite(GangStartsName.Repeat, { endpoints: 4 });
    site.adviceValidMs = validMs;
    placeGang(site);
    const placedAt = site.now;
    const fake = site.findPlacement(TASK);
    fake.isUnreachable = true;
    let lastRepeatAt = 0;
    for (let n = 0; n < 400; n++) {
      const { repeats } = site.calls;
      site.advance(10);
      if (site.calls.repeats > repeats) lastRepeatAt = site.now;
    }
    const firstStartAt = placedAt + site.commitMs;
    t.true(lastRepeatAt > placedAt);
    t.true(lastRepeatAt - firstStartAt <= Math.min(REPEAT_MS, validMs));
    site.advance(30_000);
    t.is(site.find("a"), JobState.Completed);
    t.deepEqual(site.checker.violations, []);
  }
});

// Guards against a start that is repeated at a lifetime of the endpoint which knows
// nothing of the stops and ends of the former one.
test("a start is not repeated at another lifetime of the endpoint", (t) => {
  const site = makeSite(GangStartsName.Repeat);
  site.delayStarts({ byMs: 1_400 });
  placeGang(site);
  const fake = site.findPlacement(TASK);
  site.advance(300);
  site.delayStarts(undefined);
  fake.restart(site.now);
  site.advance(20_000);
  t.is(site.find("a"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a task of a cancelled job that starts after its stop, by a repeat or
// by a late copy.
test("a stop ends the repeats, and late copies of the start are refused", (t) => {
  for (const cancelAfterMs of [500, 1_150]) {
    const site = makeSite(GangStartsName.Repeat);
    site.delayStarts({ byMs: 1_400 });
    placeGang(site);
    site.advance(cancelAfterMs);
    site.cancel("a");
    const { repeats } = site.calls;
    site.advance(10_000);
    t.is(site.calls.repeats, repeats);
    t.is(site.checker.starts, 0);
    t.is(site.find("a"), JobState.Cancelled);
    t.deepEqual(site.checker.violations, []);
  }
});

// Guards against a task that runs twice: without a ticket, a later lifetime of the
// endpoint would carry out a late copy of the start.
test("a start without a ticket is not repeated", (t) => {
  const site = makeSite(GangStartsName.Repeat);
  placeGang(site, makeQueue());
  const fake = site.findPlacement(TASK);
  fake.isUnreachable = true;
  site.advance(1_000);
  fake.isUnreachable = false;
  site.advance(30_000);
  t.is(site.calls.repeats, 0);
  t.is(site.find("a"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

// Guards against violations that only combinations of lost answers, late copies,
// restarts, broken links and changes of owner bring about.
test("invariants hold and all gangs end under random faults with repeated starts", (t) => {
  let repeats = 0;
  for (let seed = 1; seed <= 30; seed++) {
    const random = new SeededRandom(seed);
    const site = new CellSite({
      seed: seed + 1,
      endpoints: 6,
      policies: { gang_starts: GangStartsName.Repeat },
    });
    site.lostStartRatio = 0.15;
    site.endRule = (_, siteRandom) => ({
      afterMs: 50 + siteRandom.drawInt(1_500),
      endKind: EndKind.Done,
    });
    const fakes = [...site.endpoints.values()];
    for (let n = 0; n < 20; n++) {
      const step = makeStep({ tasks: 2 + random.drawInt(4), gang: true });
      const queue = random.drawInt(3) === 0 ? makeQueue() : QUEUE;
      site.submit(makeJob(`j${n}`, [step], { queue }));
      site.advance(random.drawInt(600));
      const fake = fakes[random.drawInt(fakes.length)];
      const fault = random.drawInt(8);
      if (fault === 0) site.replaceOwner();
      else if (fault === 1) fake.restart(site.now);
      else if (fault === 2) fake.isUnreachable = true;
      else if (fault === 3) {
        for (const { id } of fakes) {
          site.endpoints.get(id)!.isUnreachable = false;
        }
      } else if (fault === 4) site.takeSnapshot();
      else if (fault === 5) site.cancel(`j${random.drawInt(n + 1)}`);
    }
    for (const fake of fakes) fake.isUnreachable = false;
    site.lostStartRatio = 0;
    site.advance(60_000);
    t.deepEqual(site.checker.violations, [], `seed ${seed}`);
    for (const { spec } of site.cell.state.jobs.values()) {
      t.fail(`seed ${seed}: ${spec.id} has not ended`);
    }
    repeats += site.calls.repeats;
  }
  t.true(repeats > 50);
});

// Guards against a gang that is placed on an endpoint which has just failed to answer,
// although there is room for it on others.
test("a gang avoids endpoints that lately did not answer, if it fits on others", (t) => {
  for (const gangStarts of Object.values(GangStartsName)) {
    for (const endpoints of [4, 3]) {
      const site = makeSite(gangStarts, { endpoints });
      const silent = site.endpoints.get("e0")!;
      silent.isUnreachable = true;
      site.advance(300);
      const isRepeat = gangStarts === GangStartsName.Repeat;
      const endpoint = site.cell.state.endpoints.get("e0")!;
      t.true(endpoint.contact.lostAt > 0);
      site.submit(makeJob("a", [GANG], { queue: QUEUE }));
      site.advance(200);
      t.is(endpoint.runs.size > 0, !isRepeat || endpoints === 3);
    }
  }
});
