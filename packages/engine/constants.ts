/** Endpoints that are looked at for one placement. */
export const PLACEMENT_SAMPLE = 8;

/** Endpoints that are searched for one placement. */
export const PLACEMENT_SCAN = 256;

/** Endpoints that may refuse an attempt before it is given up. */
export const MAX_REFUSALS = 3;

/** How long the outcome of an attempt is kept after its deadline, in ms. */
export const OUTCOME_RETENTION_MS = 60_000;

/**
 * How long after a lost answer a listing must have been asked for before it
 * proves that the task does not run, in milliseconds.
 */
export const SETTLE_MS = 1_000;

/** Consecutive listings without a task before its resources are free. */
export const MISSING_LISTINGS = 2;

/** Results over which an endpoint's failures are counted. */
export const FAILURE_WINDOW = 20;

/** Failures within the window before an endpoint may be ejected. */
export const MIN_FAILURES = 5;

/** Failure rate above that of its peers at which an endpoint is ejected. */
export const EJECTION_MARGIN = 0.5;

/** Largest ejected part of the owned endpoints. */
export const MAX_EJECTED_PART = 0.3;

/** Time until an ejected endpoint gets a probe, in milliseconds. */
export const PROBE_DELAY_MS = 5_000;

/** How long a failed reservation counts as demand, in milliseconds. */
export const RESERVE_DEMAND_MS = 3_000;

/** Interval at which old outcomes are forgotten, in milliseconds. */
export const SWEEP_INTERVAL_MS = 1_000;
