/** Weight of the newest service time in the moving average. */
export const SMOOTHING = 0.05;

/** Tasks that must have run before a queue's average is used. */
export const MIN_SAMPLES = 20;
