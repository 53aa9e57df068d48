import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

test("runs of an endpoint whose address another one took start elsewhere", (t) => {
  // Its stops were answered by the other endpoint, as not meant for it: a run
  // whose start had no answer was never released.
  const site = new CellSite({ endpoints: 2, afterMs: 300 });
  site.advance(200);
  const fakes = [...site.endpoints.values()];
  for (const fake of fakes) fake.isCut = true;
  site.submit(makeJob("a", [makeStep()]));
  site.advance(1_500);
  const [endpoint] = [...site.cell.state.endpoints.values()]
    .filter(({ runs }) => runs.size > 0);
  site.cell.noteReplacement(endpoint, site.present);
  t.is(endpoint.runs.size, 0);
  for (const fake of fakes) fake.isCut = fake.id === endpoint.info.id;
  site.advance(2_000);
  t.is(site.find("a"), JobState.Completed);
  t.false(site.checker.startsOn.has(endpoint.info.id));
});
