/** Key that the cell's owner holds under its lease. */
export const OWNER_KEY = "baobabhead/cell/owner";

/** Key that counts the cell's owners; it outlasts their leases. */
export const TERM_KEY = "baobabhead/cell/term";

/** Prefix of both. */
export const CELL_PREFIX = "baobabhead/cell/";

/**
 * Life of the owner's lease: the store's least. It bears two lost renewals in
 * a row, and a take-over too many costs less than one too late.
 */
export const OWNER_LEASE_MS = 1_000;

/** Time between renewals of the owner's lease, in milliseconds. */
export const OWNER_RENEWAL_INTERVAL_MS = 200;

/**
 * An owner prolongs tasks' leases for this long after its last renewal that
 * the store confirmed, so that a short outage of the store ends no task.
 */
export const OWNER_GRACE_MS = 6_000;

/** An entry that stepped aside leaves others this long to claim, in ms. */
export const STEP_DOWN_PAUSE_MS = 2_000;

/** Entries wait up to this long before they claim a free cell, spread. */
export const MAX_CLAIM_DELAY_MS = 60;

/** Longest wait of the watch of endpoints: bounds a silent connection. */
export const ENDPOINT_WATCH_WAIT_MS = 1_500;

/** Least time between two watches of endpoints: a fifth of a drain's bound. */
export const ENDPOINT_WATCH_INTERVAL_MS = 300;

/** Longest wait of the watch of the owner; a broken link ends it sooner. */
export const OWNER_WATCH_WAIT_MS = 3_000;

/** Pause between reads of the owner's key while its link is broken, in ms. */
export const OWNER_READ_INTERVAL_MS = 250;

/** Pause after a failed call to the store, in milliseconds. */
export const STORE_RETRY_MS = 200;

/** Time between reads of the configuration: under half of the bound of 2 s. */
export const CONFIG_READ_INTERVAL_MS = 800;

/** Pause between attempts to reach the cell's owner, in milliseconds. */
export const LINK_RETRY_MS = 200;

/** Part of the bound on revoked keys after which keys are not trusted. */
export const KEY_TRUST_FRACTION = 0.5;

/**
 * Longest lease that is asked for: it outlasts the loss of an owner (2 s), and
 * what an endpoint out of reach ran can start elsewhere when it has ended.
 */
export const TASK_LEASE_MS = 4_000;

/** Bound on an order to start or stop: a hundred times the usual answer. */
export const ORDER_TIMEOUT_MS = 500;

/** Longest wait of a listing; a stalled or cut endpoint shows after it. */
export const POLL_WAIT_MS = 1_000;

/**
 * Longest wait of a listing where serving and filling runs share an endpoint:
 * the half second over which it measures them.
 */
export const SHARED_POLL_WAIT_MS = 500;

/** Bound on a listing beyond its wait, in milliseconds. */
export const POLL_TIMEOUT_MARGIN_MS = 500;

/** Least time between two listings of one endpoint, in milliseconds. */
export const POLL_INTERVAL_MS = 100;

/** Pause after a listing without an answer, in milliseconds. */
export const POLL_RETRY_PAUSE_MS = 150;

/** An order without an answer for this long shows an endpoint out of reach. */
export const UNRESPONSIVE_AFTER_MS = 300;

/** An endpoint out of reach gets no starts for this long, or until it answers. */
export const UNRESPONSIVE_PAUSE_MS = 2_000;

/** Time in which events are gathered before the next plan, in ms. */
export const MIN_PLAN_DELAY_MS = 3;

/** Time between plans when nothing happens, in milliseconds. */
export const PLAN_INTERVAL_MS = 100;

/** Prefix of what lasts of waves of upkeep: VMs that may have begun. */
export const UPKEEP_PREFIX = "baobabhead/upkeep/";

/** Longest wait of the watch of waves; they come a few times a day. */
export const WAVE_WATCH_WAIT_MS = 10_000;

/** Time between two plans of a wave, in milliseconds. */
export const WAVE_PLAN_INTERVAL_MS = 200;

/** Time between two lists of VMs while a wave runs, in milliseconds. */
export const VM_LIST_INTERVAL_MS = 1_000;

/** Bound on a call to the service for VMs, which is at times slow, in ms. */
export const VM_CALL_TIMEOUT_MS = 1_500;

/** Bound on a call for advice beyond its predicted time, in milliseconds. */
export const ADVICE_TIMEOUT_MARGIN_MS = 1_500;

/** A commit without an answer for this long: new jobs are refused. */
export const STORE_STALL_MS = 700;

/**
 * Bound on the owner's answer to a caller's request, in milliseconds. An owner
 * that is silent for longer is lost; the caller's retry finds the next one.
 */
export const OWNER_CALL_TIMEOUT_MS = 1_000;

/** Kept back from a caller's deadline for the answer's way, in ms. */
export const ANSWER_MARGIN_MS = 150;

/** Bound on a caller's wait when it names none, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 3_000;

/** Advice on when to come back while there is no owner, in milliseconds. */
export const NO_OWNER_RETRY_MS = 1_000;

/** Time for which a stopping entry still takes requests, in milliseconds. */
export const SHUTDOWN_GRACE_MS = 3_500;

/** Largest body of a job on our own interface, in bytes. */
export const MAX_JOB_BODY_BYTES = 262_144;

/** Interval of the check for requests under way when stopping. */
export const SHUTDOWN_CHECK_INTERVAL_MS = 50;
