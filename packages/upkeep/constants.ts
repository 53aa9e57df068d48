/**
 * Fraction of a wave's duration that is divided among its batches of VMs; the
 * rest is a reserve for retries.
 */
export const PLANNED_SHARE = 0.8;

/** Expected duration of one upkeep, the endpoint's restart included, in ms. */
export const EXPECTED_UPKEEP_MS = 3_000;

/** Shortest time to wait for runs to end before they are stopped, in ms. */
export const MIN_DRAIN_MS = 500;

/**
 * Longest time to wait for runs to end before they are stopped, in ms. Most
 * tasks end sooner.
 */
export const MAX_DRAIN_MS = 10_000;

/** Delay before an upkeep order without a final answer is repeated, in ms. */
export const ORDER_RETRY_MS = 500;
