import test from "ava";
import { type Vm, type VmListing, VmRole, VmState } from "../platform/mod.ts";
import { VmTracker } from "./mod.ts";

const LAG_MS = 5_000;
const SUBJECT = { id: "a/v1/1", vm: "v1" };

function makeVm(id: string): Vm {
  return {
    id,
    role: VmRole.Entry,
    domain: "a",
    rack: "r",
    state: VmState.Live,
    address: id,
    size: { cores: 1, memoryMb: 1, accelerators: 0 },
    slots: 0,
    connections: 0,
  };
}

function makeListing(change: Partial<VmListing>): VmListing {
  return { revision: 2, complete: false, changed: [], removed: [], ...change };
}

test("a VM is gone only after the list's lag, by lists fetched later", (t) => {
  const tracker = new VmTracker(LAG_MS);
  const whole = makeListing({ complete: true, changed: [makeVm("v1")] });
  tracker.observe(whole, 0);
  tracker.observe(makeListing({ revision: 3, removed: ["v1"] }), 1_000);
  t.is(tracker.findGone([SUBJECT], 1_000).size, 0);
  t.is(tracker.findGone([SUBJECT], 60_000).size, 0, "no list since");
  tracker.observe(makeListing({ revision: 3 }), 7_000);
  t.true(tracker.findGone([SUBJECT], 7_000).has(SUBJECT.id));
  const restarted = { id: "a/v1/2", vm: "v1" };
  t.is(tracker.findGone([restarted], 7_000).size, 0, "just seen");
});

test("a VM that the list has not shown yet is not gone", (t) => {
  const tracker = new VmTracker(LAG_MS);
  tracker.observe(makeListing({ complete: true }), 0);
  tracker.findGone([SUBJECT], 0);
  tracker.observe(makeListing({}), 20_000);
  t.is(tracker.findGone([SUBJECT], 20_000).size, 0);
});

test("asks for the whole list when it began anew", (t) => {
  const tracker = new VmTracker(LAG_MS);
  tracker.observe(makeListing({ revision: 9, complete: true }), 0);
  tracker.observe(makeListing({ revision: 1 }), 1_000);
  t.is(tracker.revision, 0);
});
