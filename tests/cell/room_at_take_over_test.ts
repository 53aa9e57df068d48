import test, { type ExecutionContext } from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeQueue, makeStep } from "./cell_site.ts";

const QUEUE = makeQueue({ attempts: 1 });
const STOP_MS = 400;

/** Makes a site whose endpoint runs `a` in full and takes time to stop it. */
function runFullEndpoint(): CellSite {
  const site = new CellSite({ endpoints: 1, afterMs: 60_000 });
  for (const fake of site.endpoints.values()) fake.getStopMs = () => STOP_MS;
  site.advance(200);
  site.submit(makeJob("a", [makeStep({ tasks: 8 })], { queue: QUEUE }));
  site.advance(300);
  return site;
}

/** Lets a listing arrive before the list of endpoints, then submits work. */
function takeOverAndSubmit(t: ExecutionContext, site: CellSite): void {
  site.replaceOwner({ isListLate: true });
  site.advance(20);
  const [endpoint] = site.cell.state.endpoints.values();
  t.true(endpoint.runs.size > 0 && !endpoint.isListed);
  site.applyEndpointList();
  site.submit(makeJob("b", [makeStep({ tasks: 8 })]));
  site.advance(2_000);
  const [fake] = site.endpoints.values();
  t.is(fake.runs.size, 8);
  t.deepEqual(site.checker.violations, []);
}

/** Ends job `a` and advances until the store holds that. */
const END_CASES: [string, (site: CellSite) => void][] = [
  ["cancelled", (site) => {
    site.cancel("a");
    site.advance(30);
  }],
  ["failed", (site) => {
    const [fake] = site.endpoints.values();
    const [run] = fake.runs.values();
    run.endsAt = site.now;
    run.endKind = EndKind.Failed;
    site.advance(130);
  }],
  ["cancelled, and is known from a snapshot only", (site) => {
    site.cancel("a");
    site.advance(30);
    site.takeSnapshot();
  }],
  ["cancelled and forgotten", (site) => {
    site.cancel("a");
    site.advance(30);
    site.takeSnapshot();
    site.snapshot = {
      jobs: [],
      ended: [],
      endpoints: site.snapshot!.endpoints,
    };
  }],
];

for (const [how, endJob] of END_CASES) {
  // Regression: a new owner took the demand of such a run to be the capacity of
  // its endpoint, which was 0 until the list of endpoints came.
  test(`a listed run keeps its room at a take-over although its job is ${how}`, (t) => {
    const site = runFullEndpoint();
    endJob(site);
    takeOverAndSubmit(t, site);
  });
}

const QUOTA = { milliCores: 8_000, memoryMb: 80_000, accelerators: 0 };

/** Sets and checks a quota that one endpoint fills. */
function setQuota(site: CellSite): void {
  site.checker.setQuota(QUOTA);
  site.cell.updateOrganisations([{ name: "norte", weight: 9, cap: QUOTA }]);
}

test("nothing starts before a new owner knows the quotas", (t) => {
  // Regression: no rules of organisations counted as no quotas.
  const site = new CellSite({ endpoints: 2, afterMs: 60_000 });
  setQuota(site);
  site.submit(makeJob("a", [makeStep({ tasks: 16 })]));
  site.advance(500);
  t.is(site.checker.starts, 8);
  site.replaceOwner({ areRulesLate: true });
  site.advance(500);
  t.is(site.checker.starts, 8);
  site.cell.updateOrganisations([]);
  site.advance(500);
  t.is(site.checker.starts, 16);
});

for (const isFromSnapshot of [false, true]) {
  const source = isFromSnapshot ? "a snapshot" : "records";
  // Regression: only the tasks of unfinished jobs were restored, so that what a
  // cancelled job still ran out of reach did not count.
  test(`runs of a cancelled job on an unreachable endpoint count towards the quota, restored from ${source}`, (t) => {
    const site = new CellSite({ endpoints: 2, afterMs: 60_000 });
    setQuota(site);
    for (const fake of site.endpoints.values()) fake.getStopMs = () => STOP_MS;
    site.submit(makeJob("a", [makeStep({ tasks: 8 })]));
    site.advance(500);
    for (const fake of site.endpoints.values()) {
      fake.isUnreachable = fake.runs.size > 0;
    }
    site.cancel("a");
    site.advance(30);
    if (isFromSnapshot) site.takeSnapshot();
    site.replaceOwner();
    setQuota(site);
    site.submit(makeJob("b", [makeStep({ tasks: 8 })]));
    site.advance(1_000);
    t.is(site.checker.starts, 8);
    site.advance(15_000);
    t.is(site.checker.starts, 16);
    t.deepEqual(site.checker.violations, []);
    t.is(site.cell.state.usage.get("norte")?.milliCores, 8_000);
    t.is(site.cell.state.remnants.size, 0);
  });
}

test("a job cancelled by the new owner before its endpoint answers still counts towards the quota", (t) => {
  // Regression: cancelling a job released the charge of its unlocated tasks at
  // once.
  const site = new CellSite({ endpoints: 2, afterMs: 60_000 });
  setQuota(site);
  site.submit(makeJob("a", [makeStep({ tasks: 8 })]));
  site.advance(500);
  for (const fake of site.endpoints.values()) {
    fake.isUnreachable = fake.runs.size > 0;
  }
  site.replaceOwner();
  setQuota(site);
  site.cancel("a");
  site.advance(50);
  site.submit(makeJob("b", [makeStep({ tasks: 8 })]));
  site.advance(1_000);
  for (const fake of site.endpoints.values()) {
    fake.isUnreachable = false;
    fake.getStopMs = () => STOP_MS;
  }
  site.advance(2_000);
  t.is(site.checker.starts, 16);
  t.deepEqual(site.checker.violations, []);
});

test("an endpoint that leaves before its record is committed is not restored", (t) => {
  // Regression: the record that it was dropped was omitted while the record of
  // its use was in flight, so every later owner polled it.
  const site = new CellSite({ endpoints: 2 });
  site.commitMs = 12_000;
  site.advance(30);
  const { cell } = site;
  t.true(
    [...cell.state.endpoints.values()].every((endpoint) =>
      endpoint.isRecording && !endpoint.isRecorded
    ),
  );
  site.endpoints.delete("e0");
  site.applyEndpointList();
  // The endpoint is dropped once no lease of a former owner can be left.
  site.advance(9_000);
  t.false(cell.state.endpoints.has("e0"));
  site.advance(14_000);
  site.replaceOwner({ isListLate: true });
  t.deepEqual([...site.cell.state.endpoints.keys()], ["e1"]);
});

test("a run that is not its task's current one counts towards the limit of its step on an endpoint", (t) => {
  // Regression: only the current runs of the step's tasks were counted, so that
  // another one started beside a late run that was being stopped.
  const site = new CellSite({ endpoints: 1, afterMs: 60_000 });
  const [fake] = site.endpoints.values();
  fake.getStopMs = () => STOP_MS;
  site.submit(makeJob("a", [makeStep({ tasks: 3, maxPerEndpoint: 1 })]));
  site.advance(500);
  const [run] = fake.runs.values();
  const lateRun = { ...run, task: "a.0.0.2", run: 1 };
  fake.runs.set(lateRun.task, lateRun);
  site.advance(150);
  run.endsAt = site.now;
  site.advance(1_500);
  t.is(site.checker.done.size, 1);
  t.is(site.checker.starts, 2);
  t.deepEqual(site.checker.violations, []);
});

for (const where of ["the same endpoint", "another endpoint"]) {
  // Regression: the task was started beside its run that was being stopped. On
  // the same endpoint, the new run replaced the other one in the owner's view,
  // whose room and charge then stayed taken for good.
  test(`a task waits until its late run has been stopped, with free room on ${where}`, (t) => {
    const site = new CellSite({ endpoints: 2, afterMs: 60_000 });
    const [fake, other] = site.endpoints.values();
    for (const each of [fake, other]) each.getStopMs = () => STOP_MS;
    site.submit(makeJob("b", [makeStep({ tasks: 16 })]));
    site.advance(500);
    site.submit(makeJob("a", [makeStep()]));
    site.advance(50);
    const [run] = fake.runs.values();
    const lateRun = { ...run, task: "a.0.0.0", run: 1 };
    fake.runs.set(lateRun.task, lateRun);
    site.advance(150);
    const [first, second] = (where === "another endpoint" ? other : fake).runs
      .values();
    first.endsAt = site.now;
    second.endsAt = site.now;
    site.advance(2_000);
    t.is(site.checker.starts, 17);
    t.deepEqual(site.checker.violations, []);
    const used = [...site.cell.state.endpoints.values()].reduce(
      (sum, endpoint) => sum + endpoint.used.milliCores,
      0,
    );
    t.is(used, 15_000);
    t.is(site.cell.state.usage.get("norte")?.milliCores, 15_000);
  });
}

test("a listed run takes the place of an earlier run of its task on the endpoint", (t) => {
  // Regression: the room and the charge of the earlier run stayed taken, and its
  // task was never started again.
  const site = new CellSite({ endpoints: 1 });
  site.endRule = ({ run }) => ({
    afterMs: run === 1 ? 60_000 : 500,
    endKind: EndKind.Done,
  });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(500);
  const [fake] = site.endpoints.values();
  const [run] = fake.runs.values();
  fake.runs.set(run.task, { ...run, run: 2 });
  site.advance(3_000);
  t.is(site.find("a"), JobState.Completed);
  const [endpoint] = site.cell.state.endpoints.values();
  t.is(endpoint.used.milliCores, 0);
  t.is(site.cell.state.usage.get("norte")?.milliCores, 0);
});
