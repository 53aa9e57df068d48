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

function makeListing(overrides: Partial<VmListing>): VmListing {
  return {
    revision: 2,
    complete: false,
    changed: [],
    removed: [],
    ...overrides,
  };
}

test("a VM is gone once it is missing for longer than the list's lag", (t) => {
  const tracker = new VmTracker(LAG_MS);
  const completeListing = makeListing({
    complete: true,
    changed: [makeVm("v1")],
  });
  tracker.observe(completeListing, 0);
  tracker.observe(makeListing({ revision: 3, removed: ["v1"] }), 1_000);
  t.is(tracker.findGone([SUBJECT], 1_000).size, 0);
  t.is(tracker.findGone([SUBJECT], 60_000).size, 0, "no list requested since");
  tracker.observe(makeListing({ revision: 3 }), 7_000);
  t.true(tracker.findGone([SUBJECT], 7_000).has(SUBJECT.id));
  const restarted = { id: "a/v1/2", vm: "v1" };
  t.is(tracker.findGone([restarted], 7_000).size, 0, "only just found missing");
});

test("a VM that was never listed is not gone in its grace period", (t) => {
  const tracker = new VmTracker(LAG_MS);
  tracker.observe(makeListing({ complete: true }), 0);
  tracker.findGone([SUBJECT], 0);
  tracker.observe(makeListing({}), 20_000);
  t.is(tracker.findGone([SUBJECT], 20_000).size, 0);
});

test("requests the complete list after a reset of the list", (t) => {
  const tracker = new VmTracker(LAG_MS);
  tracker.observe(makeListing({ revision: 9, complete: true }), 0);
  tracker.observe(makeListing({ revision: 1 }), 1_000);
  t.is(tracker.revision, 0);
});
