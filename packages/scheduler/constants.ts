import type { ConnectionLimits } from "../connections/mod.ts";
import { MEBIBYTE } from "../base/mod.ts";

/** Key that the cell's owner holds under its lease. */
export const OWNER_KEY = "baobabhead/cell/owner";

/**
 * Key of the term, which is the number of owners so far. The key has no lease.
 */
export const TERM_KEY = "baobabhead/cell/term";

/** Common prefix of `OWNER_KEY` and `TERM_KEY`. */
export const CELL_PREFIX = "baobabhead/cell/";

/**
 * Lifetime of the owner's lease, in milliseconds: the shortest that the store
 * grants. The lease survives two lost renewals in a row, and an unnecessary
 * take-over costs less than a late one.
 */
export const OWNER_LEASE_MS = 1_000;

/** Time between renewals of the owner's lease, in milliseconds. */
export const OWNER_RENEWAL_INTERVAL_MS = 200;

/**
 * Time for which an owner sends orders and renews task leases after the last
 * confirmed renewal of its own lease, in milliseconds, so that a short outage
 * of the store ends no task.
 */
export const OWNER_GRACE_MS = 6_000;

/**
 * Time from the plan of a start to its send, in milliseconds: longer than a commit
 * takes unless the store stalls. A new owner knows by it when the last start of a
 * former one was sent.
 */
export const MAX_PLACEMENT_AGE_MS = 1_000;

/**
 * Key of the question of an owner that does not reach most entries, under its lease. It
 * has the prefix of the keys that the entries watch.
 */
export const ISOLATION_CHECK_KEY = "baobabhead/cell/isolation-check";

/** Key prefix of the answers to it, one per entry that does not reach the owner. */
export const CUT_OFF_PREFIX = "baobabhead/cut-off/";

/**
 * Time between two questions while most entries are silent, in milliseconds: entries may
 * lose and regain the store meanwhile.
 */
export const ISOLATION_CHECK_INTERVAL_MS = 1_000;

/**
 * Time from the beginning of an ownership to its first question, in milliseconds: by then
 * the entries have linked to the owner, or a second attempt to do so has failed.
 */
export const FIRST_ISOLATION_CHECK_MS = 1_500;

/**
 * Number of silent entries up to which each one is asked; of more, a share is. An eighth
 * of the writes that the store takes in a second.
 */
export const MAX_ASKED_ENTRIES = 48;

/** Time for which an entry that stepped down makes no claim, in ms. */
export const STEP_DOWN_PAUSE_MS = 2_000;

/** Longest random delay before a claim, in ms; spreads competing claims. */
export const MAX_CLAIM_DELAY_MS = 60;

/**
 * Processor speed from which a VM may own the cell, as a fraction of that of the
 * largest VM.
 */
export const CAPABLE_FRACTION = 0.7;

/**
 * Time for which an entry on a VM that is not capable leaves a cell without an
 * owner to the capable ones, in milliseconds: some rounds of claims.
 */
export const SMALL_VM_CLAIM_DELAY_MS = 400;

/**
 * Time for which entries that reached an owner leave its cell to those that did not, in
 * milliseconds, if it asked for these last: as for VMs that are not capable.
 */
export const NEAR_CLAIM_DELAY_MS = SMALL_VM_CLAIM_DELAY_MS;

/**
 * Time after which an owner on a VM that is not capable hands over to a capable
 * entry, in milliseconds: all entries have linked to the owner by then.
 */
export const HANDOVER_AFTER_MS = 1_000;

/** Shortest ownership after which an overloaded owner hands over, in ms. */
export const MIN_OWNERSHIP_MS = 5_000;

/** Interval at which a process checks that its event loop runs, in ms. */
export const LOOP_CHECK_INTERVAL_MS = 200;

/**
 * Longest time between two checks of the event loop that is not logged, in
 * milliseconds: peers and callers notice a silence of a second.
 */
export const MAX_LOOP_STALL_MS = 1_000;

/** Time over which the lateness of the owner's loop is judged, in ms. */
export const OVERLOAD_WINDOW_MS = 1_500;

/**
 * Longest time for which an owner that hands over waits for its last commits, in
 * milliseconds.
 */
export const MAX_DRAIN_MS = 400;

/**
 * Timeout of the read of one page of the journal, in milliseconds: a page holds
 * up to 1 MB, and a small VM's link carries 7 Mbit/s beside other traffic.
 */
export const JOURNAL_PAGE_TIMEOUT_MS = 6_000;

/**
 * Longest time that one watch of the endpoint records waits, in milliseconds: two
 * waits and the pause between them are under the age of records on which tasks are
 * started.
 */
export const ENDPOINT_WATCH_WAIT_MS = 800;

/**
 * Time added to the wait of a watch of the endpoint records to get its timeout, in
 * milliseconds. After one lost answer, the records are listed again before they are
 * too old to start tasks on them.
 */
export const ENDPOINT_WATCH_MARGIN_MS = 700;

/**
 * Pause after each watch of the endpoint records, in milliseconds: a fifth of
 * the time in which a drain must take effect.
 */
export const ENDPOINT_WATCH_INTERVAL_MS = 300;

/**
 * Time after an outage of the store by which the endpoints that reach it have written
 * their records again, in milliseconds: the platform says about two seconds.
 */
export const ENDPOINT_RECORDS_RETURN_MS = 2_000;

/**
 * Longest time that one watch of the owner's key waits, in milliseconds. A
 * broken link to the owner ends the wait sooner.
 */
export const OWNER_WATCH_WAIT_MS = 3_000;

/**
 * Time between reads of the owner's key while the owner is unreachable, in
 * milliseconds.
 */
export const OWNER_READ_INTERVAL_MS = 250;

/** Pause after a failed call to the store, in milliseconds. */
export const STORE_RETRY_MS = 200;

/**
 * Longest wait of one watch of the configuration, and time between reads that
 * fail, in milliseconds: under half of the 2 s in which a change must take
 * effect.
 */
export const CONFIG_READ_INTERVAL_MS = 800;

/**
 * Time added to the wait of a watch of the configuration to get its timeout, in
 * milliseconds. A connection that went silent is noticed before keys are no
 * longer trusted.
 */
export const CONFIG_WATCH_MARGIN_MS = 700;

/** Shortest pause before the configuration is read again, in milliseconds. */
export const MIN_READ_PAUSE_MS = 50;

/** Pause between attempts to reach the cell's owner, in milliseconds. */
export const LINK_RETRY_MS = 200;

/**
 * An entry accepts no keys once its configuration has been unconfirmed for more
 * than this fraction of the time in which a revoked key must stop working.
 */
export const KEY_TRUST_FRACTION = 0.5;

/**
 * Longest lease of a task, in milliseconds. The lease outlasts the loss of an
 * owner (2 s); the tasks of an unreachable endpoint can start elsewhere only
 * after the lease has expired.
 */
export const TASK_LEASE_MS = 4_000;

/**
 * Longest time between two renewals of an endpoint's leases, in milliseconds: one poll
 * that waits, and the pause after it. The rest of a lease outlasts the loss of an owner.
 */
export const LEASE_RENEWAL_MS = 1_100;

/**
 * Largest number of start orders without a ticket that are on their way to one endpoint
 * at a time. If it is lost, its leases end at the latest 3.1 s (the rest of a lease when
 * it is renewed) + 4.1 s (that renewal, carried out late) + 0.3 s (margin) + this number
 * times 0.5 s (starts, carried out late) after that: a second less than the 9 s after which
 * a task that lasts has to run ("from 6 s after its last run", "for 3 s").
 */
export const MAX_PENDING_STARTS = 1;

/** Timeout of an order to an endpoint, in ms: 100 times the usual latency. */
export const ORDER_TIMEOUT_MS = 500;

/**
 * Longest time that an endpoint may delay its answer to a poll, in
 * milliseconds. A stalled or disconnected endpoint is detected only after this
 * time.
 */
export const POLL_WAIT_MS = 1_000;

/**
 * As `POLL_WAIT_MS`, in milliseconds, for an endpoint that serving and
 * best-effort runs share: the half second over which the endpoint measures
 * its runs.
 */
export const COLOCATED_POLL_WAIT_MS = 500;

/** Time added to the requested delay of a poll to get its timeout, in ms. */
export const POLL_TIMEOUT_MARGIN_MS = 500;

/** Shortest time between two polls of one endpoint, in milliseconds. */
export const POLL_INTERVAL_MS = 100;

/**
 * Longest time between two polls of one endpoint while the owner is late, in
 * milliseconds: a tenth of a lease.
 */
export const MAX_POLL_INTERVAL_MS = 400;

/** Time added between two polls, as a multiple of the time by which the owner is late. */
export const POLL_LAG_FACTOR = 4;

/** Pause after a failed poll, in milliseconds. */
export const POLL_RETRY_PAUSE_MS = 150;

/**
 * Time for which acknowledgements of ends wait for a poll without unlisted starts, in
 * milliseconds: a quarter of the time that the platform allows for them.
 */
export const MAX_WITHHELD_MS = 1_000;

/**
 * Time without an answer to a call after which an endpoint counts as
 * unresponsive, in milliseconds.
 */
export const UNRESPONSIVE_AFTER_MS = 300;

/**
 * Time for which an unresponsive endpoint gets no starts, in milliseconds; its
 * next answer ends the pause.
 */
export const UNRESPONSIVE_PAUSE_MS = 2_000;

/** Shortest delay of a plan, in ms, so that one plan covers many events. */
export const MIN_PLAN_DELAY_MS = 3;

/**
 * Pause between plans as a multiple of the duration of the last one, so that
 * planning takes at most a quarter of the process's time.
 */
export const PLAN_PAUSE_FACTOR = 3;

/** Time between plans while no event triggers one, in milliseconds. */
export const PLAN_INTERVAL_MS = 100;

/** Key prefix of the records of upkeeps that may have begun, one per wave. */
export const UPKEEP_PREFIX = "baobabhead/upkeep/";

/** Key prefix of the evacuations that operators request at an entry, by domain. */
export const EVACUATION_PREFIX = "baobabhead/evacuations/";

/**
 * Longest time that one watch of evacuation requests waits, in milliseconds. An answer
 * without changes confirms the requests only as of the moment it was asked for.
 */
export const EVACUATION_WATCH_WAIT_MS = 800;

/** Pause after each watch of evacuation requests, in milliseconds. */
export const EVACUATION_WATCH_INTERVAL_MS = 50;

/**
 * Longest wait of a watch of evacuation requests as a fraction of the age of requests
 * on which tasks are started: a lost answer and the list after it fit into that age.
 */
export const EVACUATION_WATCH_FRACTION = 0.25;

/**
 * Longest time that one watch of wave requests waits, in milliseconds; few
 * requests arrive per day.
 */
export const WAVE_WATCH_WAIT_MS = 10_000;

/** Time between two plans of an upkeep wave, in milliseconds. */
export const WAVE_PLAN_INTERVAL_MS = 200;

/** Shortest time between requests for the list of VMs during a wave, in ms. */
export const VM_LIST_INTERVAL_MS = 1_000;

/** Timeout of a call to the VM service, which is slow at times, in ms. */
export const VM_CALL_TIMEOUT_MS = 1_500;

/**
 * Time added to the predicted duration of an advice call to get its timeout, in
 * milliseconds.
 */
export const ADVICE_TIMEOUT_MARGIN_MS = 1_500;

/**
 * Time without an answer to a commit after which new jobs are refused and no
 * starts are planned, in milliseconds.
 */
export const STORE_STALL_MS = 700;

/**
 * Timeout of a call to the owner for a caller's request, in milliseconds. An
 * owner that takes longer counts as failed; the caller's retry can reach the
 * next owner.
 */
export const OWNER_CALL_TIMEOUT_MS = 1_000;

/**
 * Longest time for which an entry holds a request that has reached no owner, in
 * milliseconds: the lease of a lost owner, and the restore by the next one.
 */
export const OWNER_WAIT_MS = 1_500;

/**
 * Longest time for which an entry tries to learn the effect of a request whose
 * answer was lost with the owner, in milliseconds. A caller that is told that the
 * effect is unknown does not ask elsewhere, where an entry without an owner could
 * only answer that the request did not run.
 */
export const SETTLE_WAIT_MS = 2_000;

/** Pause before a call to the owner is repeated, in milliseconds. */
export const REPEAT_PAUSE_MS = 40;

/**
 * Maximum number of requests that one entry holds while there is no owner. Some
 * seconds of an entry's usual share of the load.
 */
export const MAX_HELD_CALLS = 100;

/**
 * Time for which an entry remembers a submission whose effect is unknown, in
 * milliseconds: ten times the usual deadline, while callers repeat it.
 */
export const UNSETTLED_RETENTION_MS = 30_000;

/** Maximum number of such submissions; about 1 MB. */
export const MAX_UNSETTLED_REQUESTS = 10_000;

/** Part of a caller's deadline reserved for sending the answer, in ms. */
export const ANSWER_MARGIN_MS = 150;

/** Deadline of a request that names none, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 3_000;

/** Suggested pause before a retry while there is no owner, in milliseconds. */
export const NO_OWNER_RETRY_MS = 1_000;

/** Time for which a stopping entry still accepts requests, in ms. */
export const SHUTDOWN_GRACE_MS = 3_500;

/**
 * Time after `SHUTDOWN_GRACE_MS` by which a stopping entry has answered all
 * requests, in milliseconds: 1.5 s before the platform kills it.
 */
export const LAST_ANSWER_MS = 1_000;

/** Largest body of a job request on the platform-independent API, in bytes. */
export const MAX_JOB_BODY_BYTES = 262_144;

/** Interval of the checks for requests in flight at shutdown, in ms. */
export const SHUTDOWN_CHECK_INTERVAL_MS = 50;

/** Keep-alive timeout of connections, in milliseconds. */
export const IDLE_CONNECTION_MS = 60_000;

/**
 * Limits of the addresses for load balancers and operators, which have few callers. They
 * are apart from those for callers, so that these cannot use them up.
 */
export const OPERATIONS_LIMITS: Pick<
  ConnectionLimits,
  "connections" | "requests" | "requests_per_connection" | "request_bytes"
> = {
  connections: 32,
  requests: 32,
  requests_per_connection: 4,
  request_bytes: MEBIBYTE,
};
