import test from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeQueue, makeStep } from "./cell_site.ts";

const longCallQueue = makeQueue({
  name: "allocations",
  priority: 1,
  targetLatencyMs: 20_000,
  advice: { decideMs: 600, perEndpointMs: 5, validMs: 1_500 },
});
const shortCallQueue = makeQueue({
  name: "bookings",
  priority: 0,
  advice: { decideMs: 10, perEndpointMs: 0.1, validMs: 1_500 },
});

// More advice calls are submitted than the two entries can make in time.
test("a short advice call does not wait behind all earlier long calls", (t) => {
  const site = new CellSite({ afterMs: 100 });
  site.advance(300);
  site.adviceBacklogs = [site.now, site.now];
  for (let n = 0; n < 12; n++) {
    site.submit(makeJob(`long${n}`, [makeStep()], { queue: longCallQueue }));
  }
  site.advance(100);
  site.submit(makeJob("short", [makeStep()], { queue: shortCallQueue }));
  // Each entry is making a long call; the waiting ones take 3 s per entry.
  site.advance(1_000);
  t.is(site.find("short"), JobState.Completed);
  site.advance(6_000);
  for (let n = 0; n < 12; n++) {
    t.is(site.find(`long${n}`), JobState.Completed);
  }
});

test("no entry is idle while an advice call waits", (t) => {
  const site = new CellSite({ afterMs: 100 });
  site.advance(300);
  const startedAt = site.now;
  site.adviceBacklogs = [site.now, site.now, site.now];
  for (let n = 0; n < 30; n++) {
    site.submit(makeJob(`short${n}`, [makeStep()], { queue: shortCallQueue }));
  }
  site.advance(2_000);
  const busyMs = site.adviceBacklogs.reduce(
    (sum, freeAt) => sum + freeAt - startedAt,
    0,
  );
  const totalCallMs = site.calls.advice * 10.4;
  t.true(
    busyMs < totalCallMs + 3 * 100,
    `busy for ${busyMs} ms with ${totalCallMs} ms of calls`,
  );
});

// Guards against work that asks for tickets again and again: less urgent work takes the
// room meanwhile, and every entry is busy with calls that lead to nothing (LOST).
test("room for which tickets are asked is not given to less urgent work", (t) => {
  const capacity = { milliCores: 1_000, memoryMb: 8_000, accelerators: 0 };
  const site = new CellSite({ endpoints: 1, capacity });
  site.endRule = ({ task }) => ({
    afterMs: task.startsWith("late") ? 4_000 : 100,
    endKind: EndKind.Done,
  });
  site.advance(300);
  const queue = makeQueue({ name: "late", priority: 2 });
  for (let n = 0; n < 5; n++) {
    site.submit(makeJob(`late${n}`, [makeStep()], { queue }));
  }
  site.advance(200);
  site.submit(makeJob("a", [makeStep()], { queue: longCallQueue }));
  site.advance(6_000);
  t.is(site.find("a"), JobState.Completed);
});
