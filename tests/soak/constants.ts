/** A calm machine was without a fault for this time, in ms; the users' rules. */
export const CONTACT_MS = 3_000;

/** Interval at which endpoints write their records, in milliseconds. */
export const HEARTBEAT_MS = 1_500;

/** Longest time by which an endpoint carries out an order late, in ms. */
export const MAX_LATE_MS = 12_000;

/** Crashes under a task from which its starts are counted; the users' rules. */
export const COUNTED_CRASHES = 3;

/** Largest number of starts of such a task after them; the users' rules. */
export const MAX_STARTS_AFTER_CRASHES = 2;

/** Fewest crashes under a task whose job may be shown as failed. */
export const GIVE_UP_CRASHES = 2;

/** Time until a cancelled job starts nothing, in ms; the users' rules. */
export const CANCEL_MS = 3_000;

/** Time until an accepted job can be found everywhere, in milliseconds. */
export const VISIBLE_MS = 2_000;

/** Time until a withdrawn key stops working, in ms; as in the settings. */
export const REVOKE_MS = 5_000;

/** Time until a configuration is in force, in ms; the users' rules. */
export const CONFIG_MS = 2_000;

/** Time from SIGTERM to SIGKILL, in milliseconds; the users' rules. */
export const STOP_GRACE_MS = 6_000;

/**
 * A connection that ends within this time of a request, in ms, may have been
 * closed before the request was read.
 */
export const LOSS_SLACK_MS = 100;

/** Time until entries serve after the last fault, in ms; the users' rules. */
export const RECOVER_MS = 12_000;

/**
 * Time after the last fault in which no job waits while there is room, in ms; the
 * users' rules.
 */
export const FINISH_MS = 14_000;

/** Time for which a job waits in vain before that counts, in ms; as above. */
export const IDLE_MS = 3_000;

/** Longest duration of a task, in milliseconds. */
export const MAX_RUN_MS = 4_000;

/** Largest number of steps of a job. */
export const MAX_STEPS = 2;
