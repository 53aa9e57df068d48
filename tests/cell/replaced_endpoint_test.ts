import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

test("runs of a replaced endpoint are started elsewhere", (t) => {
  // Regression: the new endpoint at the address rejected the stop orders, which
  // were meant for the replaced one. A run whose start order got no answer was
  // therefore never released.
  const site = new CellSite({ endpoints: 2, afterMs: 300 });
  site.advance(200);
  const fakes = [...site.endpoints.values()];
  for (const fake of fakes) fake.isUnreachable = true;
  site.submit(makeJob("a", [makeStep()]));
  site.advance(1_500);
  const [replaced] = [...site.cell.state.endpoints.values()]
    .filter(({ runs }) => runs.size > 0);
  site.cell.noteReplacement(replaced, site.time);
  t.is(replaced.runs.size, 0);
  for (const fake of fakes) fake.isUnreachable = fake.id === replaced.info.id;
  site.advance(2_000);
  t.is(site.find("a"), JobState.Completed);
  t.false(site.checker.startsOn.has(replaced.info.id));
});
