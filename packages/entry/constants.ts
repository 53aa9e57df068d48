/** Interval of the control loop, in milliseconds. */
export const CONTROL_INTERVAL_MS = 1_000;

/** Interval of the control loop while shards are handed over, in ms. */
export const HANDOVER_INTERVAL_MS = 250;

/** Commits of grants that all entries together may make in a second. */
export const LIMIT_COMMITS_PER_SECOND = 160;

/** Interval at which waits, holds and old outcomes are ended, in ms. */
export const TICK_INTERVAL_MS = 100;

/** Interval of heartbeats to other failure domains, in heartbeats. */
export const REMOTE_HEARTBEAT_FACTOR = 3;

/** Heartbeats that may fail before a peer counts as unreachable. */
export const LOST_HEARTBEATS = 3;

/** Gap in the event loop that counts as a pause of the process, in ms. */
export const PAUSE_MS = 2_000;

/** Longest refusal of new work after a pause without a refresh, in ms. */
export const PAUSE_REFRESH_MS = 3_000;

/** Entries that one attempt may be offered to. */
export const MAX_ROUTE_TRIES = 4;

/** Time past a deadline for the owner's own answer to arrive, in ms. */
export const DEADLINE_GRACE_MS = 250;

/** Pause between two questions about a forward without a reply, in ms. */
export const RECOVER_INTERVAL_MS = 250;

/** How long a reservation for a gang lasts, in milliseconds. */
export const GANG_HOLD_MS = 2_000;

/** Longest pause between two tries to place a gang, in milliseconds. */
export const GANG_BACKOFF_MS = 400;

/** How long the outcome of work can be asked for, in milliseconds. */
export const WORK_RETENTION_MS = 10 * 60 * 1_000;

/** Longest wait of `apply` for all entries to confirm, in milliseconds. */
export const APPLY_WAIT_MS = 5_000;

/** Interval at which `apply` looks for confirmations, in milliseconds. */
export const APPLY_POLL_MS = 100;

/** Time before an unfinished acceptance is taken up by any entry, in ms. */
export const ACCEPT_TAKEOVER_MS = 3_000;

/** Interval of polls while an endpoint does not serve, in milliseconds. */
export const RECOVERY_POLL_MS = 300;

/** Polls of endpoints that may be under way at once. */
export const MAX_POLLS = 64;

/** Longest wait for a handover during a drain, in milliseconds. */
export const DRAIN_HANDOVER_MS = 30_000;

/** How long an idle connection of a caller or peer is kept open, in ms. */
export const IDLE_CONNECTION_MS = 65_000;

/** Interval at which idle connections are closed during a stop, in ms. */
export const CLOSE_INTERVAL_MS = 50;

/** Longest wait for the home of a key while it is handed over, in ms. */
export const KEY_HOME_WAIT_MS = 2_500;

/** Pause before the home of a key is asked again, in milliseconds. */
export const KEY_RETRY_MS = 150;

/** Tries to tell the home of a key how its request ended. */
export const KEY_FINISH_TRIES = 5;

/** Interval at which old requests and keys are forgotten, in ms. */
export const EXPIRE_INTERVAL_MS = 1_000;
