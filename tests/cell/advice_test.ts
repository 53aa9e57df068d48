import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeQueue, makeStep } from "./cell_site.ts";

const long = makeQueue({
  name: "allocations",
  priority: 1,
  targetLatencyMs: 20_000,
  advice: { decideMs: 600, perEndpointMs: 5, validMs: 1_500 },
});
const short = makeQueue({
  name: "bookings",
  priority: 0,
  advice: { decideMs: 10, perEndpointMs: 0.1, validMs: 1_500 },
});

/** Load: more calls for advice than the entries that are left can make. */
test("short calls do not wait behind all the long ones that came before", (t) => {
  const site = new CellSite({ afterMs: 100 });
  site.advance(300);
  site.lanes = [site.now, site.now];
  for (let n = 0; n < 12; n++) {
    site.submit(makeJob(`long${n}`, [makeStep()], { queue: long }));
  }
  site.advance(100);
  site.submit(makeJob("short", [makeStep()], { queue: short }));
  // Both entries are in a long call; the rest of them, 3 s of calls, waits.
  site.advance(1_000);
  t.is(site.find("short"), JobState.Completed);
  site.advance(6_000);
  for (let n = 0; n < 12; n++) {
    t.is(site.find(`long${n}`), JobState.Completed);
  }
});

test("an entry is never idle while a call for advice waits", (t) => {
  const site = new CellSite({ afterMs: 100 });
  site.advance(300);
  const startedAt = site.now;
  site.lanes = [site.now, site.now, site.now];
  for (let n = 0; n < 30; n++) {
    site.submit(makeJob(`short${n}`, [makeStep()], { queue: short }));
  }
  site.advance(2_000);
  const busyMs = site.lanes.reduce((sum, at) => sum + at - startedAt, 0);
  const callsMs = site.calls.advice * 10.4;
  t.true(busyMs < callsMs + 3 * 100, `${busyMs} for ${callsMs} ms of calls`);
});
