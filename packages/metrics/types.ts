/** Labels of one series. */
export type Labels = Record<string, string>;

/** Quantiles of one histogram. */
export interface HistogramSummary {
  name: string;
  labels: Labels;
  count: number;
  percentiles: { percentile: number; ms: number }[];
}
