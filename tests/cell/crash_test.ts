import test from "ava";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "./cell_site.ts";
import { CrashSite, Return } from "./crash_site.ts";

for (const returnsAs of Object.values(Return)) {
  // Guards against a task that crashes each endpoint that starts it and is started
  // without end, as no crash counts (BUDGET).
  test(`one bad task crashes at most three endpoints and its job fails; they come back: ${returnsAs}`, (t) => {
    const site = new CrashSite({ endpoints: 12, afterMs: 400 });
    site.returnsAs = returnsAs;
    site.isDeadly = (task) => task === "bad.0.0.0";
    site.watchStarts();
    site.advance(300);
    site.submit(makeJob("bad", [makeStep()]));
    site.advance(60_000);
    t.is(site.find("bad"), JobState.Failed);
    t.true(site.countCrashes("bad.0.0.0") <= 3);
    t.deepEqual(site.checker.violations, []);
  });
}
