/** How much slower than this process an endpoint's clock may run. */
export const CLOCK_DRIFT = 0.02;

/** Added to the end of a lease for the message's way, in milliseconds. */
export const LEASE_MARGIN_MS = 250;

/** A ticket is not used in the last part of its life, in milliseconds. */
export const TICKET_MARGIN_MS = 250;

/**
 * Longest time after which an endpoint may still carry out an order that it
 * did not answer, in milliseconds: the platform's 12 s and a margin.
 */
export const LATE_ORDER_MS = 12_500;

/** A start without an answer must be listed within this time, in ms. */
export const UNSURE_MS = 500;

/** Pause before a task is started the third time, in milliseconds. */
export const RETRY_PAUSE_MS = 150;

/** Longest pause before a task is started again, in milliseconds. */
export const MAX_RETRY_PAUSE_MS = 2_000;

/** An endpoint that refused or did not answer gets nothing for this long. */
export const ENDPOINT_PAUSE_MS = 1_000;

/** A replaced endpoint that is still listed is asked again after this time. */
export const REPLACED_PAUSE_MS = 2_000;

/** Failed runs of different jobs in a row that eject an endpoint. */
export const EJECT_AFTER_FAILURES = 3;

/** An ejected endpoint gets one task after this time, in milliseconds. */
export const EJECT_MS = 4_000;

/** Largest part of a service's endpoints that may be ejected. */
export const MAX_EJECTED_PART = 0.34;

/** A run without progress for this long is restarted elsewhere, in ms. */
export const STALL_MS = 2_500;

/** Pace of a run that is not held back, in percent. */
export const FULL_PACE = 100;

/**
 * Part of a serving task's target above which the filling runs beside it are
 * held back: a tenth of the target is left for the time until that shows.
 */
export const STRAINED_PART = 0.9;

/** Part of the target below which filling runs get more of their pace back. */
export const CALM_PART = 0.7;

/** Step by which pace is given back, in percent. */
export const PACE_STEP = 20;

/** Pace below which it is set to 0 at once, in percent. */
export const LEAST_PACE = 15;

/**
 * Time until a change of pace shows whole: the platform's 100 ms until it takes
 * force, and the half second over which an endpoint measures.
 */
export const PACE_SETTLE_MS = 700;

/** Filling work that may do nothing for this long is moved elsewhere, in ms. */
export const FILL_MOVE_MS = 3_000;

/** Blocked gangs for which room is kept free at the same time. */
export const MAX_RESERVATIONS = 3;

/** Calls for advice of one step that may be under way at once. */
export const MAX_ADVICE_RETRIES = 50;

/**
 * An entry with calls of this length before it is asked nothing more, in ms: a
 * few ways there and back, so that it is never idle while something waits.
 */
export const MAX_LANE_MS = 30;

/** Pause after a failed call for advice, in milliseconds. */
export const ADVICE_RETRY_MS = 100;

/** Run numbers of one ownership term; later terms use higher ones. */
export const RUNS_PER_TERM = 1_000;
