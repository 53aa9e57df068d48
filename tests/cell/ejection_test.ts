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
    [...site.endpoints.values()].map(({ id, capacity }, n) => ({
      id,
      address: id,
      service: n < 2 ? "desk" : "other",
      domain: "a",
      labels: [],
      rack: "",
      capacity,
      isDraining: false,
    })),
  );
  site.advance(300);
  failJobs(site, 16);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(1_000);
  t.is(site.find("a"), JobState.Completed);
});
