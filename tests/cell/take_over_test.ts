import { Buffer } from "node:buffer";
import test from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import {
  findLeaseEnd,
  LATE_ORDER_MS,
  MAX_CHECKPOINT_BYTES,
  MAX_LEASE_MS,
} from "../../packages/cell/mod.ts";
import {
  MAX_COMMIT_BYTES,
  MAX_RUNS_PER_RECORD,
  RecordKind,
} from "../../packages/journal/mod.ts";
import {
  CellSite,
  LEASE_MS,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";

test("a new owner keeps the running tasks and starts none twice", (t) => {
  const site = new CellSite({ afterMs: 3_000 });
  site.submit(makeJob("a", [makeStep({ tasks: 12 })]));
  site.advance(500);
  site.replaceOwner();
  site.advance(4_000);
  t.is(site.find("a"), JobState.Completed);
  t.is(site.checker.starts, 12);
  t.deepEqual(site.checker.violations, []);
});

test("leases granted by a former owner are not treated as expired", (t) => {
  // Regression: the new owner did not know when the leases that the former
  // owner had granted to an endpoint end.
  const site = new CellSite({ endpoints: 1, afterMs: 5_000 });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(300);
  site.replaceOwner();
  site.advance(300);
  const [endpoint] = site.cell.state.endpoints.values();
  t.is(endpoint.runs.size, 1);
  t.true(findLeaseEnd(endpoint) >= site.now + LEASE_MS / 2);
});

test("tasks with tickets wait while an unreachable endpoint may still run them", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 20_000 });
  const queue = makeQueue({ advice: TICKETS });
  site.submit(makeJob("a", [makeStep({ tasks: 4 })], { queue }));
  site.advance(300);
  for (const endpoint of site.endpoints.values()) {
    endpoint.isUnreachable = endpoint.runs.size > 0;
  }
  site.replaceOwner();
  site.advance(5_000);
  t.is(site.checker.starts, 4);
  site.advance(8_000);
  t.true(site.checker.starts > 4);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a second run of a task that a late start of the former owner begins on
// an endpoint which the new owner can't reach.
test("tasks without tickets wait until no start of a former owner can be carried out", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 40_000 });
  site.submit(makeJob("a", [makeStep({ tasks: 4 })]));
  site.advance(300);
  for (const endpoint of site.endpoints.values()) {
    endpoint.isUnreachable = endpoint.runs.size > 0;
  }
  site.replaceOwner();
  site.advance(LATE_ORDER_MS + MAX_LEASE_MS);
  t.is(site.checker.starts, 4);
  site.advance(2_000);
  t.true(site.checker.starts > 4);
  t.deepEqual(site.checker.violations, []);
});

// Guards against an older run that is adopted in place of the one that the journal has
// placed on another endpoint, and that may still run there.
test("a run on another endpoint than the placement is stopped, not adopted", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 20_000 });
  site.advance(200);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(300);
  const placed = site.findPlacement("a.0.0.0");
  const other = [...site.endpoints.values()].find((fake) => fake !== placed);
  const run = placed.runs.get("a.0.0.0");
  if (!other || !run) return t.fail();
  placed.isUnreachable = true;
  other.runs.set(run.task, { ...run, endpoint: other.id });
  other.leaseEndsAt = other.readClock(site.now) + LEASE_MS;
  site.replaceOwner();
  site.advance(1_000);
  t.false(other.runs.has(run.task));
  t.true(site.cell.state.unlocated.has(run.task));
});

test("an accepted job and its ended tasks survive changes of owner", (t) => {
  const site = new CellSite();
  const steps = [makeStep({ tasks: 2 }), makeStep({ after: [0], tasks: 3 })];
  site.submit(makeJob("a", steps));
  for (let n = 0; n < 6; n++) {
    site.advance(270);
    if (n === 3) site.takeSnapshot();
    site.replaceOwner();
  }
  site.advance(3_000);
  t.is(site.find("a"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

test("failed runs count once across owners and snapshots", (t) => {
  const site = new CellSite();
  site.endRule = () => ({ afterMs: 100, endKind: EndKind.Failed });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(250);
  site.takeSnapshot();
  site.replaceOwner();
  site.advance(10_000);
  t.is(site.find("a"), JobState.Failed);
  t.is(site.checker.starts, 3);
});

test("the end of an older run does not hide where a task runs now", (t) => {
  // Run 1 has failed and its end is not acknowledged yet; run 2 runs elsewhere.
  // Regression: the new owner took the listed end as the task's location.
  const site = new CellSite({ endpoints: 2 });
  site.pollIntervalMs = 700;
  site.endRule = (run) =>
    run.run === 1
      ? { afterMs: 100, endKind: EndKind.Failed }
      : { afterMs: 4_000, endKind: EndKind.Done };
  site.advance(50);
  site.submit(makeJob("a", [makeStep()]));
  while (site.checker.starts < 2) site.advance(10);
  const [currentEndpoint] = [...site.endpoints.values()].filter(({ runs }) =>
    runs.size > 0
  );
  site.replaceOwner();
  currentEndpoint.isUnreachable = true;
  site.advance(1_500);
  currentEndpoint.isUnreachable = false;
  site.advance(6_000);
  t.is(site.find("a"), JobState.Completed);
  t.is(site.checker.starts, 2);
  t.deepEqual(site.checker.violations, []);
});

test("only tasks placed on an unreachable endpoint wait for it", (t) => {
  // Regression: after a take-over, one unreachable endpoint delayed every task
  // by 12 s.
  const site = new CellSite({ endpoints: 3, afterMs: 2_000 });
  site.submit(makeJob("a", [makeStep({ tasks: 30 })]));
  site.advance(400);
  const [unreachable] = site.endpoints.values();
  const unreachableRuns = unreachable.runs.size;
  t.true(unreachableRuns > 0 && site.checker.starts < 30);
  unreachable.isUnreachable = true;
  site.replaceOwner();
  site.advance(6_000);
  t.is(site.checker.starts, 30);
  t.is(site.checker.done.size, 30);
  t.deepEqual(site.checker.violations, []);
});

test("a start order is not sent before its placement is committed", (t) => {
  const site = new CellSite();
  site.submit(makeJob("a", [makeStep()]));
  site.advance(200);
  site.replaceOwner();
  site.commitMs = 60_000;
  site.submit(makeJob("b", [makeStep()]));
  site.advance(1_000);
  t.is(site.checker.starts, 1);
});

// Guards against a record that the store refuses as too large, which stops the cell.
test("a record of many placements is within the size of a commit", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: 60_000 });
  site.advance(200);
  const demand = { milliCores: 0, memoryMb: 0, accelerators: 0 };
  const tasks = 3 * MAX_RUNS_PER_RECORD;
  site.submit(makeJob("x".repeat(64), [makeStep({ tasks, demand })]));
  site.advance(1_000);
  const placed = site.journal.flatMap((record) =>
    record.kind === RecordKind.Placed ? record.runs : []
  );
  t.is(new Set(placed.map(([task]) => task)).size, tasks);
  for (const record of site.journal) {
    t.true(Buffer.byteLength(JSON.stringify(record)) <= MAX_COMMIT_BYTES);
  }
});

// Guards against a text of one endpoint that makes a record too large for the store.
test("a checkpoint that is too large to be stored is left out, smaller ones are kept", (t) => {
  const largest = "牛".repeat(Math.floor(MAX_CHECKPOINT_BYTES / 3));
  const tooLarge = `${largest}牛`;
  for (const [listed, kept] of [[largest, largest], [tooLarge, ""]]) {
    for (const isListedAtEnd of [false, true]) {
      const site = new CellSite({ endpoints: 1 });
      site.endRule = () => ({ afterMs: 300, endKind: EndKind.Failed });
      const [endpoint] = site.endpoints.values();
      if (isListedAtEnd) endpoint.checkpoint = listed;
      else endpoint.getSaved = () => listed;
      site.submit(makeJob("a", [makeStep({ checkpointing: true })]));
      site.advance(isListedAtEnd ? 600 : 250);
      const [job] = site.cell.collectSnapshot().jobs;
      t.true(job.tasks[0].saved === kept);
      for (const record of site.journal) {
        t.true(Buffer.byteLength(JSON.stringify(record)) <= MAX_COMMIT_BYTES);
      }
    }
  }
});
