import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

test("a job waits until an endpoint has confirmed a start", (t) => {
  // The order alone counted as a start: cut off endpoints hid who waits.
  const site = new CellSite({ endpoints: 2 });
  site.advance(200);
  for (const endpoint of site.endpoints.values()) endpoint.isCut = true;
  site.submit(makeJob("a", [makeStep()]));
  site.advance(900);
  t.is(site.cell.countWaiting("filings"), 1);
  t.is(site.find("a"), JobState.Pending);
  for (const endpoint of site.endpoints.values()) endpoint.isCut = false;
  site.advance(12_000);
  t.is(site.cell.countWaiting("filings"), 0);
  t.is(site.find("a"), JobState.Completed);
});
