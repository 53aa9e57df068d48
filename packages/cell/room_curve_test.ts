import test from "ava";
import { type PlacedTasks, RoomCurve } from "./room_curve.ts";

const TASK: PlacedTasks = {
  tasks: 1,
  milliCores: 1_000,
  durationMs: 1_000,
  isGang: false,
  share: 1,
  fromMs: 0,
};

/** 4 cores that are free now and 4 that are free after 2 s. */
function buildCurve(): RoomCurve {
  return RoomCurve.build([
    { afterMs: 0, milliCores: 4_000 },
    { afterMs: 2_000, milliCores: 4_000 },
  ]);
}

/** Returns whether a time is predicted at most 5%, or one interval, too late. */
function isNear(actualMs: number, expectedMs: number): boolean {
  return actualMs >= expectedMs &&
    actualMs <= expectedMs + Math.max(50, expectedMs * 0.05);
}

// Guards against the fault of predictions by work and capacity alone: a gang needs room
// for all its members at one moment.
test("a gang waits until there is room for all its tasks", (t) => {
  const gang = { ...TASK, tasks: 6, isGang: true };
  t.true(isNear(buildCurve().addTasks(gang).lastMs, 2_000));
  t.is(buildCurve().addTasks({ ...gang, isGang: false }).firstMs, 0);
});

test("tasks beyond the free room start when earlier ones have ended", (t) => {
  const curve = buildCurve();
  const starts = curve.addTasks({ ...TASK, tasks: 8 });
  t.is(starts.firstMs, 0);
  t.true(isNear(starts.lastMs, 1_000), `${starts.lastMs}`);
});

test("a short task is placed in room that a gang waits for only later", (t) => {
  const curve = buildCurve();
  curve.addTasks({ ...TASK, tasks: 8, isGang: true, durationMs: 5_000 });
  t.is(curve.addTasks({ ...TASK, tasks: 4 }).lastMs, 0);
  t.true(curve.addTasks(TASK).lastMs >= 1_000);
});

test("room that is never free starts nothing, and no room is taken", (t) => {
  const curve = buildCurve();
  const { firstMs } = curve.addTasks({ ...TASK, tasks: 9, isGang: true });
  t.is(firstMs, Number.POSITIVE_INFINITY);
  t.is(curve.getFree(10_000), 8_000);
});

test("a step that may use half of the room takes no more than that at a time", (t) => {
  const curve = buildCurve();
  const starts = curve.addTasks({ ...TASK, tasks: 4, share: 0.5 });
  t.true(isNear(starts.lastMs, 1_000), `${starts.lastMs}`);
});
