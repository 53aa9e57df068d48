/** Labels of one time series, by name. */
export type Labels = Record<string, string>;

/** Count and percentiles of one histogram. */
export interface HistogramSummary {
  name: string;
  labels: Labels;
  count: number;
  percentiles: { percentile: number; ms: number }[];
}
