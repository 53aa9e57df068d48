import test from "ava";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeQueue, makeStep } from "./cell_site.ts";

/** Submits jobs of one attempt whose runs fail, so that endpoints are ejected. */
function failJobs(site: CellSite, count: number): void {
  const { endRule } = site;
  site.endRule = () => ({ afterMs: 50, endKind: EndKind.Failed });
  const queue = makeQueue({ attempts: 1 });
  for (let n = 0; n < count; n++) {
    site.submit(makeJob(`f${n}`, [makeStep()], { queue }));
    site.advance(150);
  }
  site.endRule = endRule;
}

// Guards against a service all of whose endpoints are ejected because the cell has
// many endpoints of other services.
test("a service of a large cell keeps an endpoint although runs fail on all of its endpoints", (t) => {
  const site = new CellSite({ endpoints: 10 });
  site.cell.updateEndpoints(
    [...site.endpoints.values()].map(({ id, capacity, bornAt }, n) => ({
      id,
      address: id,
      service: n < 2 ? "desk" : "other",
      domain: "a",
      labels: [],
      rack: "",
      capacity,
      bornAt,
      isDraining: false,
    })),
  );
  site.advance(300);
  failJobs(site, 16);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(1_000);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against a whole batch of tasks that fails on an endpoint whose ejection
// time is over, but on which no run has succeeded.
test("an endpoint gets one task when its ejection time is over, until a run succeeds", (t) => {
  const site = new CellSite({ endpoints: 4 });
  site.advance(300);
  const { endRule } = site;
  site.endRule = (run, random) =>
    run.endpoint === "e0"
      ? { afterMs: 50, endKind: EndKind.Failed }
      : endRule(run, random);
  const queue = makeQueue({ attempts: 9 });
  for (let n = 0; n < 30; n++) {
    site.submit(makeJob(`f${n}`, [makeStep({ tasks: 4 })], { queue }));
    site.advance(100);
  }
  const endpoint = site.cell.state.endpoints.get("e0")!;
  t.true(endpoint.ejectedUntil > site.now);
  while (endpoint.runs.size > 0 || site.now < endpoint.ejectedUntil) {
    site.advance(10);
  }
  const startsBefore = site.checker.startsOn.get("e0") ?? 0;
  site.submit(makeJob("wide", [makeStep({ tasks: 24 })], { queue }));
  let most = endpoint.runs.size;
  for (let n = 0; n < 20; n++) {
    site.advance(10);
    most = Math.max(most, endpoint.runs.size);
  }
  t.is(most, 1);
  t.is((site.checker.startsOn.get("e0") ?? 0) - startsBefore, 1);
});

// Guards against a failure on a restarted endpoint that counts as a repeated one of
// the same job, because the endpoint's former lifetime failed that job.
test("a failure on a restarted endpoint counts, whatever job failed before its restart", (t) => {
  const site = new CellSite({ endpoints: 1 });
  site.advance(300);
  site.endRule = () => ({ afterMs: 50, endKind: EndKind.Failed });
  const queue = makeQueue({ attempts: 9 });
  site.submit(makeJob("a", [makeStep()], { queue }));
  site.advance(200);
  const endpoint = site.cell.state.endpoints.get("e0")!;
  t.is(endpoint.failuresInRow, 1);
  site.endpoints.get("e0")!.restart(site.now);
  site.advance(4_000);
  t.is(endpoint.failuresInRow, 1);
});
