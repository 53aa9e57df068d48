import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";

test("a job counts as waiting until an endpoint confirms a start", (t) => {
  // Regression: a start order counted as a start, so that jobs sent to
  // unreachable endpoints were not counted as waiting.
  const site = new CellSite({ endpoints: 2 });
  site.advance(200);
  for (const endpoint of site.endpoints.values()) endpoint.isUnreachable = true;
  const queue = makeQueue({ advice: TICKETS });
  site.submit(makeJob("a", [makeStep()], { queue }));
  site.advance(900);
  t.is(site.cell.countWaiting("filings"), 1);
  t.is(site.find("a"), JobState.Pending);
  for (const endpoint of site.endpoints.values()) {
    endpoint.isUnreachable = false;
  }
  site.advance(12_000);
  t.is(site.cell.countWaiting("filings"), 0);
  t.is(site.find("a"), JobState.Completed);
});
