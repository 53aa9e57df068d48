/** Maximum number of usable endpoints scored for one placement. */
export const PLACEMENT_SAMPLE_SIZE = 8;

/** Maximum number of endpoints examined for one placement. */
export const MAX_SCANNED_ENDPOINTS = 256;

/** Maximum number of retries of an attempt that endpoints refused to start. */
export const MAX_REFUSALS = 3;

/**
 * How long the outcome of an attempt is kept after its deadline, or after its
 * end if that is later, in milliseconds.
 */
export const OUTCOME_RETENTION_MS = 60_000;

/**
 * Minimum time between a change of a task, such as its end or a lost answer,
 * and the request of a listing that proves whether the task runs, in
 * milliseconds. A listing requested earlier may show the state before the
 * change.
 */
export const LISTING_PROOF_DELAY_MS = 1_000;

/**
 * Number of consecutive listings without a task before its resources are
 * released.
 */
export const MIN_MISSING_LISTINGS = 2;

/** Number of most recent results in which an endpoint's failures count. */
export const FAILURE_WINDOW = 20;

/** Number of failures within the window before an endpoint may be ejected. */
export const MIN_FAILURES = 5;

/**
 * Difference between an endpoint's failure rate and the mean of its peers at
 * which the endpoint is ejected; rates are fractions from 0 to 1.
 */
export const EJECTION_MARGIN = 0.5;

/** Largest fraction of the owned endpoints that may be ejected at a time. */
export const MAX_EJECTED_FRACTION = 0.3;

/** Time before an ejected endpoint gets its next probe, in milliseconds. */
export const PROBE_DELAY_MS = 5_000;

/**
 * How long the tasks that a gang reservation lacked grants for count as demand,
 * in milliseconds.
 */
export const SHORTFALL_RETENTION_MS = 3_000;

/** Interval at which expired records are removed, in milliseconds. */
export const SWEEP_INTERVAL_MS = 1_000;
