import test from "ava";
import { LoadShedder, type SheddingClass } from "./load_shedder.ts";

const urgent = { priority: 0, isOverShare: false };
const bulk = { priority: 1, isOverShare: false };
const hot = { priority: 0, isOverShare: true };

/** Submits a job of each class every 10 ms for 100 ms; returns how many are shed. */
function submitAll(
  shedder: LoadShedder,
  classes: readonly SheddingClass[],
  { now, lagMs }: { now: number; lagMs: number },
): number[] {
  const shed = classes.map(() => 0);
  for (let at = now; at < now + 100; at += 10) {
    for (const [index, one] of classes.entries()) {
      if (shedder.findRefusal(one, at)) shed[index]++;
    }
  }
  shedder.noteLag(lagMs, now + 100);
  return shed;
}

test("an owner that is in time sheds nothing", (t) => {
  const shedder = new LoadShedder();
  for (let now = 0; now < 3_000; now += 100) {
    const shed = submitAll(shedder, [urgent, bulk, hot], { now, lagMs: 20 });
    t.deepEqual(shed, [0, 0, 0]);
  }
});

// An owner that was late served all submissions in turn; those with the shortest
// objective were late first, and more of them came back.
test("a late owner sheds what is beyond its share first and urgent work last", (t) => {
  const shedder = new LoadShedder();
  const classes = [urgent, bulk, hot];
  const first = classes.map(() => Number.POSITIVE_INFINITY);
  for (let now = 0; now < 4_000; now += 100) {
    const shed = submitAll(shedder, classes, { now, lagMs: 300 });
    for (const [index, count] of shed.entries()) {
      if (count === 10) first[index] = Math.min(first[index], now);
    }
  }
  const [urgentAt, bulkAt, hotAt] = first;
  t.true(hotAt < bulkAt && bulkAt < urgentAt && urgentAt < 4_000, `${first}`);
});

test("an owner that is in time again takes everything back within seconds", (t) => {
  const shedder = new LoadShedder();
  for (let now = 0; now < 2_000; now += 100) {
    submitAll(shedder, [urgent, bulk], { now, lagMs: 500 });
  }
  t.true(shedder.level > 1);
  for (let now = 2_000; now < 5_000; now += 100) {
    submitAll(shedder, [urgent, bulk], { now, lagMs: 0 });
  }
  t.is(shedder.level, 0);
});

test("classes that submit nothing any more are not shed in the place of others", (t) => {
  const shedder = new LoadShedder();
  submitAll(shedder, [urgent, bulk, hot], { now: 0, lagMs: 0 });
  let shed = 0;
  for (let now = 3_000; now < 4_000; now += 100) {
    [shed] = submitAll(shedder, [urgent], { now, lagMs: 500 });
  }
  t.is(shed, 10);
});
