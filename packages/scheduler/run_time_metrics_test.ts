import test from "ava";
import { Cell, DEFAULT_POLICIES, RunTimesName } from "../cell/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { RunOutcome } from "../runtimes/mod.ts";
import { setCalibrationGauges } from "./run_time_metrics.ts";

// Guards against wrong predictions that show nowhere.
test("the calibration of each queue is shown as metrics", async (t) => {
  const cell = new Cell({
    term: 1,
    retentionMs: 1_000,
    leaseMs: 1_000,
    policies: { ...DEFAULT_POLICIES, run_times: RunTimesName.Learned },
  });
  const { runTimes } = cell.state;
  // The prior's median is 1,000 ms, its 90th percentile 2,160 ms.
  for (const [n, actualMs] of [500, 1_500, 1_800, 4_000].entries()) {
    const progress = runTimes.beginRun({
      shape: {
        service: "desk",
        queue: "filings",
        organisation: "norte",
        tasks: 1,
        milliCores: 1_000,
        isGang: false,
        estimateMs: 1_000,
      },
      step: "a",
      endpoint: { id: `e${n}`, service: "desk", labels: [], bornAt: 1 },
      startedAt: 0,
      clockOffset: 0,
      now: 0,
    });
    const outcome = RunOutcome.Complete;
    if (progress) runTimes.observeEnd(progress, { outcome, now: actualMs });
  }
  const metrics = new Metrics();
  setCalibrationGauges(metrics, cell);
  const text = await metrics.renderText();
  t.regex(text, /run_times_runs\{queue="filings"\} 4/);
  t.regex(text, /run_times_below_median\{queue="filings"\} 0\.2[45]/);
  t.regex(text, /run_times_below_p90\{queue="filings"\} 0\.7/);
});
