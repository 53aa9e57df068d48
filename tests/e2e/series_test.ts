import test from "ava";
import { SERIES_CASES } from "../soak/series_cases.ts";
import { runSeries } from "../soak/series/run_series.ts";

const TEST_TIMEOUT_MS = 120_000;

for (const { name, options } of SERIES_CASES.filter((c) => !c.isByHand)) {
  // Guards against jobs that wait beside usable room while endpoints restart in series; the
  // causes that were found are named in tests/soak/series_cases.ts.
  test.serial(`the programs keep their promises in the series ${name}`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const report = await runSeries(options);
    t.deepEqual(report.violations, [], `logs: ${report.directory}`);
    t.true(report.counts.started > 0);
  });
}
