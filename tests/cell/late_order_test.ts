import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

const ALL_ORDERS_SETTLED_MS = 30_000;
const TASK = "a.0.0.0";

// Guards against a late start that is forgotten because a later run of the task was
// on the same endpoint when it restarted.
test("a prevented start is stopped again although a later run was on the endpoint", (t) => {
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
  t.is(target.runs.get(TASK)?.run, 2);
  site.draining.delete("e1");
  site.draining.add("e0");
  target.restart(site.now);
  site.applyEndpointList();
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
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
