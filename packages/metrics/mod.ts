/** Counters, gauges and latency histograms. */
export * from "./constants.ts";
export * from "./metrics.ts";
export * from "./types.ts";
