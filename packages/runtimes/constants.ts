/** Time after which an observation counts half, in milliseconds. */
export const HALF_LIFE_MS = 600_000;

/** Distributions of run times that are kept; the least recently used one is dropped. */
export const MAX_DISTRIBUTIONS = 192;

/** Endpoints whose speeds are kept; the least recently observed one is dropped. */
export const MAX_ENDPOINTS = 800;

/** Steps whose own bias is kept; the least recently observed one is dropped. */
export const MAX_STEP_BIASES = 512;

/**
 * Completed runs, by decayed weight, from which a distribution is used. The 90th
 * percentile of 20 runs has two runs above it.
 */
export const MIN_RUNS = 20;

/** Runs of a queue that show its bias before they show speeds. */
export const MIN_BIAS_RUNS = 8;

/** Runs from which an endpoint's speed counts; two of three outvote a tail run. */
export const MIN_SPEED_RUNS = 3;

/** Runs of an endpoint from which it counts in the test for uneven endpoints. */
export const MIN_UNEVEN_RUNS = 5;

/** Endpoints with enough runs from which a service can be uneven. */
export const MIN_UNEVEN_ENDPOINTS = 5;

/** Runs of an endpoint that its speed is estimated from. */
export const MAX_SPEED_RUNS = 16;

/** Progress in percent at which members of a gang wait for the slowest one. */
export const LAST_PERCENT = 99;

/** Slowest share of the usual pace that is distinguished. */
export const MIN_SLOWDOWN = 0.05;

/**
 * Time after which a slowdown is forgotten if no run has shown it since, in
 * milliseconds. An endpoint that gets no work could not show its recovery.
 */
export const SLOWDOWN_HOLD_MS = 30_000;
