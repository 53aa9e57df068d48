import test from "ava";
import { LoadedSite, type WorkCosts } from "./loaded_site.ts";

/** Endpoints of the site; demand is scaled to them, the owner's costs against them. */
const ENDPOINTS = 125;
const SCALE = 250 / ENDPOINTS;

/** Costs of an owner that carries 250 endpoints with little to spare, in milliseconds. */
const USUAL_COSTS: WorkCosts = {
  submissionMs: 0.5 * SCALE,
  callMs: 0.2 * SCALE,
  planMs: 0.5 * SCALE,
  planStageMs: 0.05,
};

/** Least share of the urgent class that the users accept on their days. */
const CLASS_FLOOR = 0.27;

/** Serves a day with a burst of urgent work; returns the shares in time. */
async function playDay(factor: number) {
  const costs: WorkCosts = {
    submissionMs: USUAL_COSTS.submissionMs * factor,
    callMs: USUAL_COSTS.callMs * factor,
    planMs: USUAL_COSTS.planMs * factor,
    planStageMs: USUAL_COSTS.planStageMs * factor,
  };
  const site = new LoadedSite(1, { endpoints: ENDPOINTS, costs });
  await site.time.advance(3_000);
  await site.sendLoad(3_000);
  await site.sendLoad(4_000, { factor: 2.5, queue: "urgent" });
  await site.sendLoad(3_000);
  await site.time.advance(8_000);
  return {
    urgent: site.measureInTime("urgent"),
    sweep: site.measureInTime("sweep"),
    violations: site.checker.violations,
  };
}

// With the same callers and endpoints, an owner whose work cost two fifths more lost nine
// tenths of its urgent work.
for (const factor of [1, 2, 4]) {
  test(`urgent work is served when the owner's work is ${factor} times as dear`, async (t) => {
    const day = await playDay(factor);
    t.true(day.urgent >= CLASS_FLOOR, `${day.urgent}, sweep ${day.sweep}`);
    t.deepEqual(day.violations, []);
  });
}
