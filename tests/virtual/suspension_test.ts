import test from "ava";
import { SilentEventLog } from "../../packages/events/mod.ts";
import {
  EndpointVms,
  OWNER_GRACE_MS,
  OWNER_LEASE_MS,
  type UpkeepAnswer,
  UpkeepRole,
} from "../../packages/scheduler/mod.ts";
import {
  type EndpointVm,
  UpkeepResult,
  type WaveRequest,
} from "../../packages/upkeep/mod.ts";
import { EndpointIdRecords } from "./endpoint_id_records.ts";
import { StoreFault } from "./memory_store.ts";
import { type OwnerEntry, OwnerSite } from "./owner_site.ts";
import { ProcessClock } from "./virtual_time.ts";

const SUSPENDED_MS = 10_000;

/** Site records with one wave of upkeep, of one VM. */
class OneWaveRecords extends EndpointIdRecords {
  override decodeWave(): WaveRequest {
    return { number: 1, vms: ["vm1"], durationMs: 60_000, maxDown: 1 };
  }
}

/** VM service that counts the orders and confirms none. */
class CountingVms extends EndpointVms {
  orders = 0;

  override list(): Promise<EndpointVm[]> {
    return Promise.resolve([{ name: "vm1", isUp: true, endpoint: "w0" }]);
  }

  override beginUpkeep(): Promise<UpkeepAnswer> {
    this.orders++;
    return Promise.resolve({ result: UpkeepResult.Unknown, detail: "" });
  }

  override async close(): Promise<void> {}
}

/** Starts one owner, whose store then answers `answerDelayMs` after the effect. */
function startOwner(answerDelayMs: number) {
  const site = new OwnerSite(1, { entries: 1, endpoints: 1 });
  const [owner] = site.entries;
  owner.store.answerDelayMs = answerDelayMs;
  return { site, owner };
}

/** Starts the role for upkeep of an owner, beside what the owner runs. */
function startUpkeepRole(
  site: OwnerSite,
  { name, role, store }: OwnerEntry,
  options: { vms: CountingVms; takeOverPauseMs: number },
): UpkeepRole {
  const upkeepRole = new UpkeepRole({
    ...options,
    ownership: role!.ownership,
    cell: role!.cell,
    store,
    records: new OneWaveRecords(),
    clock: new ProcessClock(site.time, name),
    log: new SilentEventLog(),
    onChanged: () => {},
    onDeposed: () => {},
  });
  void upkeepRole.run();
  return upkeepRole;
}

/** Returns whether the owner may send orders, by its own clock. */
function mayOrder(site: OwnerSite, { name, role }: OwnerEntry): boolean {
  return role?.mayOrder(site.time.now - site.time.getSuspendedTime(name)) ??
    false;
}

// Guards against orders on an expired permission: the answer to a renewal that
// was sent before a suspension of the VM is read after it.
test("a renewal that was answered before a suspension and is read after it permits no orders", async (t) => {
  const { site, owner } = startOwner(0);
  await site.time.advance(1_000);
  t.true(mayOrder(site, owner));
  owner.store.answerDelayMs = 150;
  const [lease] = site.state.leases.values();
  const { endsAt } = lease;
  while (lease.endsAt === endsAt) await site.time.advance(1);
  // One renewal is on its way back; nothing else reaches the store.
  owner.store.fault = StoreFault.Timeout;
  await site.time.suspend(owner.name, SUSPENDED_MS);
  t.false(mayOrder(site, owner));
  for (let ms = 0; ms < OWNER_GRACE_MS; ms += 100) {
    await site.time.advance(100);
    t.false(mayOrder(site, owner), `${ms} ms after the suspension`);
  }
});

// Guards against the same with the answer to a claim.
test("a claim that was answered before a suspension and is read after it permits no orders", async (t) => {
  const { site, owner } = startOwner(200);
  // Past the answer to the lease's creation, before that to the claim.
  while (!site.state.items.has("baobabhead/cell/owner")) {
    await site.time.advance(1);
  }
  owner.store.fault = StoreFault.Timeout;
  t.is(owner.role, undefined);
  await site.time.suspend(owner.name, SUSPENDED_MS);
  await site.time.advance(10);
  t.not(owner.role, undefined);
  t.false(mayOrder(site, owner));
});

// Guards against suspensions that are each too short to be noticed.
test("short suspensions in a row count towards the age of the permission", async (t) => {
  const { site, owner } = startOwner(0);
  await site.time.advance(1_000);
  owner.store.fault = StoreFault.Timeout;
  for (let sumMs = 700; sumMs < OWNER_GRACE_MS + 2_000; sumMs += 700) {
    await site.time.suspend(owner.name, 700);
    t.is(mayOrder(site, owner), sumMs < OWNER_GRACE_MS, `${sumMs} ms`);
  }
});

// Guards against a suspension that a wall clock hides which was set back before.
test("a suspension after the wall clock was set back permits no orders", async (t) => {
  const { site, owner } = startOwner(0);
  await site.time.advance(1_000);
  owner.store.fault = StoreFault.Timeout;
  site.time.wallAheadMs.set(owner.name, -SUSPENDED_MS);
  t.true(mayOrder(site, owner));
  await site.time.suspend(owner.name, SUSPENDED_MS);
  t.false(mayOrder(site, owner));
  t.true(SUSPENDED_MS > OWNER_LEASE_MS);
});

// Guards against an owner that gives no orders although its lease is confirmed.
test("orders go on with the first renewal that is sent after a suspension", async (t) => {
  const { site, owner } = startOwner(0);
  await site.time.advance(1_000);
  for (const held of site.state.leases.values()) held.endsAt += SUSPENDED_MS;
  await site.time.suspend(owner.name, SUSPENDED_MS);
  t.false(mayOrder(site, owner));
  await site.time.advance(500);
  t.true(mayOrder(site, owner));
});

// Guards against tasks that are started on endpoints which go down for an upkeep that the
// former owner recorded: they were cordoned only after the pause of orders to VMs.
test("a new owner cordons endpoints of recorded upkeeps before it may order them", async (t) => {
  const { site, owner } = startOwner(0);
  site.state.put("waves/1", "", 0);
  const record = JSON.stringify({ vm1: "w0" });
  site.state.put("baobabhead/upkeep/1", record, 0);
  await site.time.advance(1_000);
  const vms = new CountingVms();
  const upkeepRole = startUpkeepRole(site, owner, {
    vms,
    takeOverPauseMs: 3_000,
  });
  await site.time.advance(100);
  t.true(owner.role!.cell.state.endpoints.get("w0")?.isCordoned);
  await site.time.advance(2_800);
  t.is(vms.orders, 0);
  await site.time.advance(500);
  t.true(vms.orders > 0);
  upkeepRole.stop();
});

// Guards against upkeep orders on an expired permission: the upkeep of VMs had no
// check for suspensions of its own.
test("no upkeep is ordered after a suspension until the lease is confirmed again", async (t) => {
  const { site, owner } = startOwner(0);
  site.state.put("waves/1", "", 0);
  await site.time.advance(1_000);
  const role = owner.role!;
  const vms = new CountingVms();
  const upkeepRole = startUpkeepRole(site, owner, { vms, takeOverPauseMs: 0 });
  await site.time.advance(5_000);
  t.true(vms.orders > 1);
  // Otherwise this role's checks could note the suspension first.
  await role.stop({ isPlanned: false });
  owner.store.fault = StoreFault.Timeout;
  const ordersBefore = vms.orders;
  await site.time.suspend(owner.name, SUSPENDED_MS);
  await site.time.advance(OWNER_LEASE_MS);
  t.is(vms.orders, ordersBefore);
  upkeepRole.stop();
});
