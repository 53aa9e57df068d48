/** Longest duration that a histogram records, in microseconds. */
export const MAX_DURATION_US = 3_600_000_000;

/** Number of significant decimal digits in a histogram's values. */
export const HISTOGRAM_SIGNIFICANT_DIGITS = 2;

/** Percentiles that each histogram exposes. */
export const EXPOSED_PERCENTILES = [50, 90, 99, 99.9];
