import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

/** Time by which no order can be carried out any more and no run is left, ms. */
const ALL_ORDERS_SETTLED_MS = 30_000;

// Guards against a task that is started elsewhere while it runs, because its start
// order reached a lifetime of the endpoint that the owner did not know yet.
test("a run that the next lifetime of an idle endpoint started is kept", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 3_000 });
  site.advance(200);
  site.pollIntervalMs = 1_000;
  for (const fake of site.endpoints.values()) fake.restart(site.now);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(2_500);
  t.is(site.checker.starts, 1);
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.is(site.find("a"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a second run of a task whose unanswered start is carried out by the
// next lifetime of an unreachable endpoint, after the lease was taken as expired.
test("an unanswered start is not repeated elsewhere while a restarted endpoint may carry it out", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 15_000 });
  site.advance(200);
  site.delayStarts({ byMs: 9_000 });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(300);
  site.delayStarts(undefined);
  const target = site.findPlacement("a.0.0.0");
  target.isUnreachable = true;
  site.advance(3_000);
  target.restart(site.now);
  site.advance(4_500);
  // The endpoint gets the delayed order while the owner can't reach it.
  site.advance(2_000);
  target.isUnreachable = false;
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against a second run of a task whose unanswered start was stopped in one
// lifetime of an endpoint and is carried out by the next, which knows of no stop.
test("a stop that a former lifetime acknowledged does not count for the next", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 15_000 });
  site.advance(200);
  site.delayStarts({ byMs: 4_000 });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(300);
  site.delayStarts(undefined);
  const target = site.findPlacement("a.0.0.0");
  site.draining.add(target.id);
  site.applyEndpointList();
  site.advance(2_000);
  target.restart(site.now);
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against a second run after a take-over: the former owner's late start is
// carried out by a lifetime of the endpoint that has seen no fencing token yet.
test("a new owner contacts a restarted endpoint before it carries out late starts of the former one", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 15_000 });
  site.advance(200);
  site.delayStarts({ byMs: 6_000 });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(60);
  site.delayStarts(undefined);
  const target = site.findPlacement("a.0.0.0");
  site.draining.add(target.id);
  site.replaceOwner();
  site.advance(2_000);
  site.pollIntervalMs = 4_500;
  site.advance(3_000);
  target.restart(site.now);
  site.applyEndpointList();
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
  t.is(site.find("a"), JobState.Completed);
});
