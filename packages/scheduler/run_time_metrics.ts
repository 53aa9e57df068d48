import type { Cell } from "../cell/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** Sets the gauges that show how well predicted run times match, by queue. */
export function setCalibrationGauges(metrics: Metrics, cell: Cell): void {
  for (const shares of cell.state.runTimes.listCalibrations()) {
    const labels = { queue: shares.queue };
    metrics.setGauge("run_times_runs", shares.runs, labels);
    metrics.setGauge("run_times_below_median", shares.belowMedian, labels);
    metrics.setGauge("run_times_below_p90", shares.belowP90, labels);
  }
}
