import test from "ava";
import { SuspensionGuard } from "./suspension_guard.ts";

test("a wall clock that jumps ahead indicates a suspension", (t) => {
  const guard = new SuspensionGuard();
  t.false(guard.checkSuspension({ now: 1_000, wallNow: 50_000 }));
  t.false(guard.checkSuspension({ now: 9_000, wallNow: 58_020 }));
  t.true(guard.checkSuspension({ now: 9_050, wallNow: 63_000 }));
  t.false(guard.checkSuspension({ now: 9_100, wallNow: 63_050 }));
});

test("a wall clock that is set back indicates no suspension", (t) => {
  const guard = new SuspensionGuard();
  t.false(guard.checkSuspension({ now: 1_000, wallNow: 50_000 }));
  t.false(guard.checkSuspension({ now: 1_100, wallNow: 45_000 }));
});
