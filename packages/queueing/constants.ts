/**
 * Weight of the newest service time in the exponential moving average, as a
 * fraction.
 */
export const SMOOTHING_FACTOR = 0.05;

/** Minimum number of service times before a queue's average is used. */
export const MIN_SAMPLES = 20;
