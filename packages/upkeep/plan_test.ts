import test from "ava";
import { SeededRandom } from "../base/mod.ts";
import {
  applyUpkeepAnswer,
  collectBegun,
  computeDrainTimeout,
  confirmRecorded,
  type EndpointVm,
  makeWave,
  planWave,
  UpkeepPhase,
  UpkeepResult,
  type Wave,
  type WavePlan,
} from "./mod.ts";

const UPKEEP_MS = 2_000;

/** Simulates the platform's VMs and endpoints; can lose answers to orders. */
class FakeVms {
  now = 0;
  readonly vms = new Map<string, EndpointVm>();
  readonly restartsAt = new Map<string, number>();
  readonly begun = new Set<string>();
  readonly busyEndpoints = new Set<string>();
  /** Orders without an answer that take effect only at the time `at`. */
  readonly delayedOrders: { at: number; vm: string }[] = [];
  /** Highest number of VMs that were down at the same time. */
  maxDown = 0;
  lossRate = 0;
  /** Endpoints are back under the ids that they had. */
  keepsIds = false;
  readonly random: SeededRandom;

  constructor(count: number, seed = 1) {
    this.random = new SeededRandom(seed);
    for (let index = 0; index < count; index++) {
      const name = `m${index}`;
      this.vms.set(name, { name, isUp: true, endpoint: `e${index}` });
    }
  }

  /** Advances by 200 ms: plans the wave and carries out the plan's actions. */
  step(wave: Wave): WavePlan {
    this.now += 200;
    for (
      const { at, vm } of this.delayedOrders.filter(({ at }) => at === this.now)
    ) {
      if (at === this.now) this.#begin(vm);
    }
    for (const [vm, at] of this.restartsAt) {
      if (at > this.now) continue;
      this.restartsAt.delete(vm);
      const { endpoint: formerId } = this.vms.get(vm)!;
      const endpoint = this.keepsIds ? formerId : `${formerId}'`;
      this.vms.set(vm, { name: vm, isUp: true, endpoint });
    }
    const plan = planWave(wave, {
      now: this.now,
      vms: this.vms,
      listRequestedAt: this.now,
      busyElsewhere: new Set(),
      isEmpty: (endpoint) => !this.busyEndpoints.has(endpoint),
    });
    for (const endpoint of plan.endpointsToStop) {
      this.busyEndpoints.delete(endpoint);
    }
    confirmRecorded(plan.upkeepsToRecord, this.now);
    for (const upkeep of plan.upkeepsToOrder) {
      const isAnswerLost = this.random.drawFloat() < this.lossRate;
      const isOrderDelayed = isAnswerLost && this.random.drawFloat() < 0.5;
      if (isOrderDelayed) {
        this.delayedOrders.push({ at: this.now + 4_000, vm: upkeep.vm });
      } else this.#begin(upkeep.vm);
      const result = isAnswerLost ? UpkeepResult.Unknown : UpkeepResult.Begun;
      applyUpkeepAnswer(upkeep, { result, now: this.now });
    }
    return plan;
  }

  /** Begins an upkeep; a repeated order has no effect. */
  #begin(vm: string): void {
    if (this.begun.has(vm)) return;
    this.begun.add(vm);
    this.vms.set(vm, { ...this.vms.get(vm)!, isUp: false });
    this.restartsAt.set(vm, this.now + UPKEEP_MS);
    this.maxDown = Math.max(this.maxDown, this.restartsAt.size);
  }
}

function makeTestWave(
  vms: number,
  options: { maxDown?: number; durationMs?: number } = {},
): Wave {
  const vmNames = Array.from({ length: vms }, (_, index) => `m${index}`);
  const request = {
    number: 1,
    vms: vmNames,
    durationMs: options.durationMs ?? 30_000,
    maxDown: options.maxDown ?? 2,
  };
  return makeWave(request, { begun: {}, now: 0 });
}

function runWave(fake: FakeVms, wave: Wave): number {
  while (!fake.step(wave).isCompleted) {
    if (fake.now > 300_000) throw new Error("Cannot complete the wave");
  }
  return fake.now;
}

test("a wave ends in time with at most `maxDown` VMs down at once", (t) => {
  const fake = new FakeVms(6);
  const wave = makeTestWave(6);
  t.true(runWave(fake, wave) <= 30_000);
  t.is(fake.begun.size, 6);
  t.is(fake.maxDown, 2);
});

test("lost answers and late orders take no more VMs down than allowed", (t) => {
  for (let seed = 1; seed <= 200; seed++) {
    const fake = new FakeVms(7, seed);
    fake.lossRate = 0.5;
    const wave = makeTestWave(7, { maxDown: 2 });
    runWave(fake, wave);
    t.is(fake.begun.size, 7, `seed ${seed}`);
    t.true(fake.maxDown <= 2, `seed ${seed}: ${fake.maxDown} were down`);
  }
});

test("an endpoint drains first, and its runs are stopped in time", (t) => {
  const fake = new FakeVms(2);
  fake.busyEndpoints.add("e0");
  fake.busyEndpoints.add("e1");
  const wave = makeTestWave(2, { maxDown: 1, durationMs: 15_000 });
  const drainTimeoutMs = computeDrainTimeout(wave.request);
  t.true(drainTimeoutMs >= 2_000);
  t.deepEqual(fake.step(wave).cordonedEndpoints, ["e0"]);
  while (fake.now < drainTimeoutMs) {
    t.is(fake.step(wave).upkeepsToOrder.length, 0);
  }
  t.true(runWave(fake, wave) <= 15_000);
});

test("a new owner first repeats orders that may have taken effect", (t) => {
  const fake = new FakeVms(4);
  const wave = makeTestWave(4, { maxDown: 1 });
  while (fake.begun.size < 2) fake.step(wave);
  const nextOwnerWave = makeWave(wave.request, {
    begun: collectBegun(wave),
    now: fake.now,
  });
  const firstPlan = fake.step(nextOwnerWave);
  t.true(firstPlan.upkeepsToOrder.some(({ vm }) => vm === "m1"));
  runWave(fake, nextOwnerWave);
  t.is(fake.begun.size, 4);
  t.is(fake.maxDown, 1);
});

// Guards against an upkeep that ends tasks at work: the former owner recorded it when the
// endpoint was empty, and tasks were started there before the next owner ordered it.
test("a recorded upkeep is ordered only once its endpoint is empty again", (t) => {
  const fake = new FakeVms(2);
  const { request } = makeTestWave(2);
  const begun = { m0: "e0", m1: "e1" };
  const wave = makeWave(request, { begun, now: 0 });
  fake.busyEndpoints.add("e0");
  const plan = fake.step(wave);
  t.deepEqual(plan.cordonedEndpoints, ["e0", "e1"]);
  t.deepEqual(plan.upkeepsToOrder.map(({ vm }) => vm), ["m1"]);
  while (fake.busyEndpoints.has("e0")) {
    t.false(fake.begun.has("m0"));
    fake.step(wave);
  }
  t.true(fake.now >= computeDrainTimeout(request));
  runWave(fake, wave);
  t.true(fake.begun.has("m0"));
});

test("VMs that the platform no longer lists do not block a wave", (t) => {
  const fake = new FakeVms(3);
  const wave = makeTestWave(5);
  fake.step(wave);
  runWave(fake, wave);
  t.is(wave.upkeeps.get("m4")!.phase, UpkeepPhase.Done);
  t.is(fake.begun.size, 3);
});

// Guards against a wave that never ends, and endpoints that stay cordoned, because the
// endpoint of a VM is back under its id after the upkeep.
test("an upkeep ends although the endpoint keeps its id", (t) => {
  const fake = new FakeVms(6);
  fake.keepsIds = true;
  const wave = makeTestWave(6, { maxDown: 2 });
  t.true(runWave(fake, wave) <= 30_000);
  t.is(fake.maxDown, 2);
  while (!fake.step(wave).isOver) t.true(fake.now <= 60_000);
  t.deepEqual(fake.step(wave).cordonedEndpoints, []);
});

test("a VM whose upkeep is in progress in another wave is not drained", (t) => {
  const wave = makeTestWave(1);
  const fake = new FakeVms(1);
  const view = {
    now: 1,
    vms: fake.vms,
    listRequestedAt: 1,
    isEmpty: () => true,
  };
  t.deepEqual(
    planWave(wave, { ...view, busyElsewhere: new Set(["m0"]) })
      .cordonedEndpoints,
    [],
  );
  t.deepEqual(
    planWave(wave, { ...view, busyElsewhere: new Set() }).cordonedEndpoints,
    ["e0"],
  );
});

test("before the first list of VMs no VM of a wave counts as removed", (t) => {
  const wave = makeTestWave(2);
  const plan = planWave(wave, {
    now: 100,
    vms: new Map(),
    listRequestedAt: Number.NEGATIVE_INFINITY,
    busyElsewhere: new Set(),
    isEmpty: () => true,
  });
  t.false(plan.isCompleted);
  t.false(plan.isOver);
});
