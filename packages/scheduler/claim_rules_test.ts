import test from "ava";
import {
  computeClaimDelay,
  explainHandover,
  explainIsolation,
} from "./claim_rules.ts";
import {
  HANDOVER_AFTER_MS,
  MIN_OWNERSHIP_MS,
  OVERLOAD_WINDOW_MS,
} from "./constants.ts";
import { LoopMonitor } from "./loop_monitor.ts";

const SMALL = 0.324;
const LARGE = 1.35;
const view = {
  cores: LARGE,
  largestPeerCores: LARGE,
  readySince: 0,
  isOverloaded: false,
};

test("entries of unlike size lose their owner: the large ones claim first", (t) => {
  t.is(computeClaimDelay(LARGE, LARGE), 0);
  t.true(computeClaimDelay(SMALL, LARGE) > 0);
  t.is(computeClaimDelay(SMALL, SMALL), 0);
  t.is(computeClaimDelay(SMALL, 0), 0);
});

test("an owner on a small VM hands over to a large one, which keeps the cell", (t) => {
  const small = { ...view, cores: SMALL };
  t.is(explainHandover(small, HANDOVER_AFTER_MS - 1), undefined);
  t.truthy(explainHandover(small, HANDOVER_AFTER_MS));
  t.is(explainHandover({ ...small, readySince: undefined }, 1e6), undefined);
  t.is(explainHandover({ ...view, largestPeerCores: SMALL }, 1e6), undefined);
  t.is(explainHandover(view, 1e6), undefined);
});

test("an overloaded owner hands over to an equal VM, not to a small one, and not at once again", (t) => {
  const overloaded = { ...view, isOverloaded: true };
  t.is(explainHandover(overloaded, MIN_OWNERSHIP_MS - 1), undefined);
  t.truthy(explainHandover(overloaded, MIN_OWNERSHIP_MS));
  const withSmallPeers = { ...overloaded, largestPeerCores: SMALL };
  t.is(explainHandover(withSmallPeers, 1e6), undefined);
});

// Guards against an owner that takes dead or frozen peers for evidence that it is cut off.
test("an owner leaves the cell only to more entries than it reaches, whatever share it asked", (t) => {
  const alone = { reachable: 1, silent: 96, share: 0.5 };
  t.is(explainIsolation({ ...alone, answers: 0 }), undefined);
  t.truthy(explainIsolation({ ...alone, answers: 1 }));
  const third = { reachable: 33, silent: 64, share: 0.75 };
  t.is(explainIsolation({ ...third, answers: 24 }), undefined);
  t.truthy(explainIsolation({ ...third, answers: 25 }));
  const half = { reachable: 3, silent: 3, share: 1 };
  t.is(explainIsolation({ ...half, answers: 3 }), undefined);
});

// After a freeze of the VM an owner would shed submissions for seconds.
test("one long stop makes a loop not usually late; ticks that are all late do", (t) => {
  const slow = new LoopMonitor();
  const stopped = new LoopMonitor();
  for (let now = 0; now <= 6_000; now += 100) {
    if (now % 300 === 0) slow.noteTick(now, 100);
    if (now < 2_000 || now > 5_000) stopped.noteTick(now, 100);
    t.is(stopped.measureUsualLag(), 0);
    if (now > OVERLOAD_WINDOW_MS) t.is(slow.measureUsualLag(), 200);
  }
});

test("a loop that is late most of the time is overloaded; one long stop is not", (t) => {
  const steady = new LoopMonitor();
  const slow = new LoopMonitor();
  const stopped = new LoopMonitor();
  for (let now = 0; now <= 6_000; now += 100) {
    steady.noteTick(now, 100);
    if (now % 300 === 0) slow.noteTick(now, 100);
    if (now < 2_000 || now > 5_000) stopped.noteTick(now, 100);
    if (now > 2 * OVERLOAD_WINDOW_MS) t.true(slow.isOverloaded());
    t.false(steady.isOverloaded());
    t.false(stopped.isOverloaded());
  }
});
