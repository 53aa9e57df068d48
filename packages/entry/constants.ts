/** Interval of the control loop, in milliseconds. */
export const CONTROL_INTERVAL_MS = 1_000;

/**
 * Interval of the control loop during a handover or a drain, before the entry
 * is ready, and while a configuration is not confirmed, in milliseconds.
 */
export const FAST_CONTROL_INTERVAL_MS = 250;

/** Maximum number of grant commits per second, over all entries. */
export const LIMIT_COMMITS_PER_SECOND = 160;

/**
 * Interval of ticks, in milliseconds. A tick detects pauses of the process,
 * expires waiting work, holds and outcomes, and polls the endpoints that are
 * due.
 */
export const TICK_INTERVAL_MS = 100;

/** Number of heartbeat rounds per round that includes other failure domains. */
export const REMOTE_HEARTBEAT_FACTOR = 3;

/**
 * Number of heartbeats that may be missed before a peer counts as unreachable.
 */
export const MAX_MISSED_HEARTBEATS = 3;

/** Shortest gap between ticks that counts as a pause of the process, in ms. */
export const MIN_PAUSE_MS = 2_000;

/** Longest time that new work is refused after a pause or the start, in ms. */
export const MAX_STALE_MS = 3_000;

/** Maximum number of owners that the router tries for one request. */
export const MAX_ROUTE_TRIES = 4;

/**
 * Time after a deadline in which the owner's answer may arrive, in
 * milliseconds. Also the timeout of the call that then settles the attempt.
 */
export const DEADLINE_GRACE_MS = 250;

/** Pause before an attempt is forwarded again after a lost reply, in ms. */
export const FORWARD_RETRY_MS = 250;

/** Lifetime of a reservation for a gang, in milliseconds. */
export const GANG_RESERVATION_MS = 2_000;

/** Longest backoff between two tries to place a gang, in milliseconds. */
export const GANG_BACKOFF_MS = 400;

/** Time that the outcome of work is kept for its caller, in milliseconds. */
export const WORK_RETENTION_MS = 10 * 60 * 1_000;

/**
 * Longest time that `apply` waits until its version is in force on every entry,
 * in milliseconds.
 */
export const APPLY_WAIT_MS = 5_000;

/** Interval at which `apply` checks the other entries, in milliseconds. */
export const APPLY_POLL_MS = 100;

/** Age of a staged version from which any entry may accept it, in ms. */
export const ACCEPT_TAKEOVER_MS = 3_000;

/**
 * Interval of polls of an endpoint that is neither serving nor ejected, in
 * milliseconds.
 */
export const RECOVERY_POLL_MS = 300;

/** Maximum number of endpoint polls in flight. */
export const MAX_POLLS_IN_FLIGHT = 64;

/** Longest time that an idle, draining entry waits for the handover, in ms. */
export const DRAIN_HANDOVER_MS = 30_000;

/** Keep-alive timeout of connections from callers and peers, in ms. */
export const IDLE_CONNECTION_MS = 65_000;

/** Interval at which a stopping daemon closes idle connections, in ms. */
export const CLOSE_INTERVAL_MS = 50;

/**
 * Longest time for which a stopping daemon waits for its callers' connections, in
 * milliseconds. All work has ended by then; what is left is to send the answers.
 */
export const CLOSE_TIMEOUT_MS = 5_000;

/** Longest time that registering a key at its home is retried, in ms. */
export const KEY_HOME_WAIT_MS = 2_500;

/** Pause before a call to the home of a key is retried, in milliseconds. */
export const KEY_RETRY_MS = 150;

/** Maximum number of tries to report an outcome to the home of a key. */
export const KEY_FINISH_TRIES = 5;

/** Interval at which expired outcomes and keys are removed, in ms. */
export const EXPIRE_INTERVAL_MS = 1_000;
