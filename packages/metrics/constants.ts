/** Largest duration that a histogram holds, in microseconds. */
export const MAX_DURATION_US = 3_600_000_000;

/** Decimal digits that a histogram keeps. */
export const HISTOGRAM_DIGITS = 2;

/** Quantiles that are exposed, in percent. */
export const EXPOSED_PERCENTILES = [50, 90, 99, 99.9];
