import test from "ava";
import {
  beginLeaseOrder,
  type Endpoint,
  LeaseOutcome,
  settleLeaseOrder,
} from "../../packages/cell/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  LEASE_MS,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";

const ALL_ORDERS_SETTLED_MS = 30_000;
const TASK = "a.0.0.0";

/** Notes a renewal that is sent now; returns what notes that it got no answer. */
function sendRenewal(site: CellSite, endpoint: Endpoint): () => void {
  const { fence } = site;
  const order = beginLeaseOrder(endpoint, {
    now: site.now,
    leaseMs: LEASE_MS,
    fence,
  });
  const outcome = LeaseOutcome.Unanswered;
  return () => settleLeaseOrder(endpoint, order, { outcome, now: site.now });
}

// Guards against a second run of a task beside a start order that was taken as settled
// by a stop, and that the endpoint carries out after a restart.
test("a task is not started again while its unanswered start may be carried out after a restart", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 20_000 });
  site.draining.add("e1");
  site.applyEndpointList();
  site.advance(200);
  site.delayStarts({ byMs: 8_000 });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(60);
  site.delayStarts(undefined);
  const target = site.findPlacement(TASK);
  t.is(target.id, "e0");
  site.advance(3_000);
  t.is(site.checker.starts, 0);
  site.draining.delete("e1");
  site.draining.add("e0");
  target.restart(site.now);
  site.applyEndpointList();
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
  t.is(site.checker.starts, 1);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against a start of a former owner that a restarted endpoint carries out after
// the task was done elsewhere, because the new owner took an unlisted task as settled.
test("an unlisted task without a ticket is not started while a former owner's start may be carried out", (t) => {
  const site = new CellSite({ endpoints: 2 });
  site.advance(200);
  site.delayStarts({ byMs: 9_000 });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(60);
  site.delayStarts(undefined);
  const target = site.findPlacement(TASK);
  site.replaceOwner();
  site.advance(4_000);
  t.is(site.checker.starts, 0);
  target.restart(site.now);
  site.pollIntervalMs = 10_000;
  site.advance(6_000);
  site.pollIntervalMs = 100;
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
  t.is(site.checker.starts, 1);
  t.is(site.find("a"), JobState.Completed);
});

for (const isReachable of [true, false]) {
  // Guards against an endpoint that is dropped, and so settles a task, while a start of a
  // former owner may still reach it: it can be back under its id.
  test(`a task waits for a former owner's start although its endpoint was dropped, contact before: ${isReachable}`, (t) => {
    const delayMs = isReachable ? 9_000 : 12_300;
    const site = new CellSite({ endpoints: 2, afterMs: 2_000 });
    site.advance(200);
    site.delayStarts({ byMs: delayMs });
    site.submit(makeJob("a", [makeStep()]));
    site.advance(60);
    site.delayStarts(undefined);
    const target = site.findPlacement(TASK);
    target.isUnreachable = !isReachable;
    site.replaceOwner();
    site.advance(1_000);
    site.endpoints.delete(target.id);
    site.applyEndpointList();
    site.advance(delayMs - 1_180);
    target.isUnreachable = false;
    target.restart(site.now);
    site.advance(150);
    site.endpoints.set(target.id, target);
    site.applyEndpointList();
    site.advance(ALL_ORDERS_SETTLED_MS);
    t.deepEqual(site.checker.violations, []);
    t.is(site.find("a"), JobState.Completed);
  });
}

// Guards against a wait that only queues without tickets need.
test("an unlisted task with a ticket is started at once by a new owner", (t) => {
  const site = new CellSite({ endpoints: 2 });
  const queue = makeQueue({ advice: TICKETS });
  site.advance(200);
  site.delayStarts({ byMs: 9_000 });
  site.submit(makeJob("a", [makeStep()], { queue }));
  site.advance(100);
  site.delayStarts(undefined);
  site.findPlacement(TASK);
  site.replaceOwner();
  site.advance(1_500);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against resources that stay reserved when a task is placed on an endpoint
// where its prevented start is being stopped again.
test("a new run on the endpoint of a prevented start leaks no resources", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: 1_000 });
  site.advance(200);
  site.delayStarts({ byMs: 8_000 });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(60);
  site.delayStarts(undefined);
  const target = site.findPlacement(TASK);
  site.draining.add("e0");
  site.applyEndpointList();
  site.advance(2_000);
  site.draining.delete("e0");
  target.restart(site.now);
  site.applyEndpointList();
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
  t.is(site.find("a"), JobState.Completed);
  t.is(site.cell.state.endpoints.get("e0")?.used.milliCores, 0);
  t.is(site.cell.state.stoppingRuns.size, 0);
});

// Guards against a second run of a task that a lifetime unknown to the owner started
// and whose lease a late, unanswered renewal extended from its arrival.
test("a run of an unlisted lifetime is kept while an unanswered renewal may extend its lease", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 25_000 });
  site.advance(20_000);
  site.pollIntervalMs = 3_000;
  site.advance(3_000);
  for (const fake of site.endpoints.values()) fake.restart(site.now);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(60);
  t.is(site.checker.starts, 1);
  const target = site.findPlacement(TASK);
  const endpoint = site.cell.state.endpoints.get(target.id);
  if (!endpoint) return t.fail();
  // A renewal is sent and gets no answer, as the endpoint is cut off.
  const noteUnanswered = sendRenewal(site, endpoint);
  const leaseUntil = site.now + endpoint.clockOffset + LEASE_MS;
  target.isUnreachable = true;
  site.advance(500);
  noteUnanswered();
  site.advance(4_500);
  target.hold({ fence: site.fence, acknowledgedEnd: 0, leaseUntil }, site.now);
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a second run of a task that goes on under a lease which a late renewal
// granted from its arrival.
test("a late renewal may extend the leases of an endpoint that is cut off", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 25_000 });
  site.advance(200);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(500);
  const target = site.findPlacement(TASK);
  const endpoint = site.cell.state.endpoints.get(target.id);
  if (!endpoint) return t.fail();
  const noteUnanswered = sendRenewal(site, endpoint);
  target.isUnreachable = true;
  site.advance(500);
  noteUnanswered();
  site.advance(3_000);
  const leaseUntil = target.readClock(site.now) + LEASE_MS;
  target.hold({ fence: site.fence, acknowledgedEnd: 0, leaseUntil }, site.now);
  site.advance(4_000);
  t.is(site.checker.starts, 1);
  site.advance(LEASE_MS);
  t.is(site.checker.starts, 2);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a second run of a task whose lease was extended by a late order that
// was in flight, with a time on the former lifetime's clock, when the restart was found.
test("an order in flight at a restart may extend the leases of the new lifetime", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 25_000 });
  site.draining.add("e1");
  site.applyEndpointList();
  site.advance(30_000);
  const target = site.endpoints.get("e0");
  if (!target) return t.fail();
  site.pollIntervalMs = 3_000;
  site.advance(3_000);
  target.restart(site.now);
  site.delayStarts({ byMs: 8_000 });
  site.submit(makeJob("b", [makeStep()]));
  site.advance(60);
  site.delayStarts(undefined);
  // The restart is found while the start of b is still in flight.
  site.applyEndpointList();
  site.pollIntervalMs = 100;
  site.advance(200);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(2_500);
  t.true(target.runs.has(TASK));
  target.isUnreachable = true;
  site.draining.delete("e1");
  site.draining.add("e0");
  site.applyEndpointList();
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a late renewal that extends the leases of an endpoint which was
// dropped and is back, after a restart, under its id.
test("an endpoint is not dropped while unanswered orders may still reach it", (t) => {
  const site = new CellSite({ endpoints: 1 });
  site.advance(200);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(2_000);
  t.is(site.find("a"), JobState.Completed);
  const endpoint = site.cell.state.endpoints.get("e0");
  if (!endpoint) return t.fail();
  sendRenewal(site, endpoint)();
  endpoint.unansweredEndsAckAt = site.now;
  site.endpoints.clear();
  site.applyEndpointList();
  site.advance(8_000);
  t.true(site.cell.state.endpoints.has("e0"));
  site.advance(20_000);
  t.false(site.cell.state.endpoints.has("e0"));
});
