/** Part of a wave's time that is planned for; the rest covers repeats. */
export const PLANNED_PART = 0.8;

/** Usual length of an upkeep with the start of its endpoint, in ms. */
export const USUAL_UPKEEP_MS = 3_000;

/** Least time that runs get to end by themselves, in milliseconds. */
export const MIN_PATIENCE_MS = 500;

/** Longest time that runs get to end: most tasks are shorter, in ms. */
export const MAX_PATIENCE_MS = 10_000;

/** Pause before an order without a final answer is repeated, in ms. */
export const ORDER_RETRY_MS = 500;
