import type { Demand } from "../jobs/mod.ts";

/** Fraction by which an endpoint's clock may run slower than the owner's. */
export const CLOCK_DRIFT = 0.02;

/**
 * Demand and charge of a run of which nothing is known, in the units of
 * `Demand`: more than any endpoint or quota holds. An integer that is exact in
 * sums, because it is subtracted again.
 */
export const UNKNOWN_DEMAND: Readonly<Demand> = {
  milliCores: 2 ** 40,
  memoryMb: 2 ** 40,
  accelerators: 2 ** 40,
};

/**
 * Longest lease that an endpoint grants, whatever time an order names, in
 * milliseconds; the platform's limit. An order for a former lifetime names a time on
 * a clock that has started over since, so that only this limit bounds its lease.
 */
export const MAX_LEASE_MS = 6_000;

/**
 * Remaining lease of an endpoint from which starts there name a short one, in
 * milliseconds: longer than such a lease by the timeout of an order.
 */
export const MIN_FRESH_LEASE_MS = 1_500;

/**
 * Lease that a start with a ticket names beside a fresh one, in milliseconds. However many
 * such starts are on their way, they extend the leases of a lost endpoint at most until the
 * end of a ticket (1.5 s) and this lease.
 */
export const TICKETED_LEASE_MS = 1_000;

/**
 * The same without a ticket, in milliseconds: 100 times the usual latency of an order. It
 * comes on top of the renewed lease if the endpoint is lost while the start is on its way.
 */
export const SHORT_LEASE_MS = 500;

/** Added to the end of a lease to cover message delay, in milliseconds. */
export const LEASE_MARGIN_MS = 250;

/** A ticket is not used within this time before it expires, in milliseconds. */
export const TICKET_MARGIN_MS = 250;

/**
 * Longest time after which an endpoint may still carry out an unanswered order,
 * in milliseconds: the platform's limit of 12 s plus a margin.
 */
export const LATE_ORDER_MS = 12_500;

/** An unanswered start must be listed within this time, in milliseconds. */
export const START_CONFIRM_MS = 500;

/**
 * Time without an answer after which the start of a gang's member is ordered again, in
 * milliseconds: the poll that follows an unanswered start may settle it first.
 */
export const START_REPEAT_MS = 100;

/**
 * Time from the first start of a gang until which starts of its members are repeated,
 * in milliseconds. Members wait 4 s for the others; the last answer takes up to 500 ms.
 */
export const GANG_REPEAT_MS = 2_500;

/**
 * Time after an order without an answer for which gangs avoid the endpoint, in
 * milliseconds: as long as an unresponsive endpoint gets no other starts.
 */
export const GANG_AVOID_MS = 2_000;

/** Longest time that a stop takes, which saves a run's progress, in milliseconds. */
export const LONGEST_STOP_MS = 900;

/**
 * Time between the last useful stop on a leaving endpoint and its end, in milliseconds,
 * beside the stop itself: covers the plan's interval and the transit of the order.
 */
export const LEAVING_MARGIN_MS = 500;

/** Backoff before the second retry, in ms; the first retry is immediate. */
export const RETRY_DELAY_MS = 150;

/** Longest backoff before a retry, in milliseconds. */
export const MAX_RETRY_DELAY_MS = 2_000;

/** Pause of starts on an endpoint that was full or unavailable, in ms. */
export const ENDPOINT_PAUSE_MS = 1_000;

/** Pause before a replaced but listed endpoint is contacted again, in ms. */
export const REPLACED_PAUSE_MS = 2_000;

/**
 * Number of failed runs in a row, of different jobs, before an endpoint is
 * ejected.
 */
export const EJECT_AFTER_FAILURES = 3;

/** Time until an ejected endpoint is tried again, in milliseconds. */
export const EJECT_MS = 4_000;

/** Largest fraction of a service's endpoints that may be ejected at a time. */
export const MAX_EJECTED_FRACTION = 0.34;

/** Time without progress after which a run is restarted elsewhere, in ms. */
export const STALL_MS = 2_500;

/**
 * A run is stalled only after this multiple of its mean time per percent without
 * progress. Load: tasks of minutes take seconds for one percent.
 */
export const STALL_FACTOR = 4;

/**
 * Progress from which the mean time per percent is measured alone, in percent. Below,
 * one percent may have been seen too early, and the predicted run time counts as well.
 */
export const MIN_PACED_PERCENT = 5;

/**
 * Progress at which a member of a gang may have done its part and wait for the
 * slowest, in percent: the members end together.
 */
export const GANG_WAIT_PERCENT = 99;

/** Pace of a run that is not throttled, in percent. */
export const FULL_PACE = 100;

/**
 * Tail latency, as a fraction of the target, from which best-effort runs are
 * throttled. The margin of a tenth covers the time until a lower pace takes
 * effect.
 */
export const THROTTLE_RATIO = 0.9;

/**
 * Tail latency, as a fraction of the target, below which the pace is raised.
 */
export const RECOVERY_RATIO = 0.7;

/** Step by which the pace is raised, in percentage points. */
export const PACE_STEP = 20;

/** Lowest pace other than 0, in percent. */
export const MIN_PACE = 15;

/**
 * Time until the full effect of a pace change is measured, in milliseconds: up
 * to 100 ms until the platform applies it, and the half-second window of the
 * endpoint's measurement.
 */
export const PACE_SETTLE_MS = 700;

/** Time after which a paused best-effort run is moved elsewhere, in ms. */
export const BEST_EFFORT_MOVE_MS = 3_000;

/** Maximum number of gangs that do not fit yet but reserve capacity. */
export const MAX_GANG_RESERVATIONS = 3;

/** Maximum multiple of `ADVICE_RETRY_MS` between failed advice calls. */
export const MAX_ADVICE_BACKOFF_FACTOR = 50;

/**
 * Backlog of advice calls at which an entry gets no further call, in
 * milliseconds. Covers a few round trips, so that the entry is not idle while
 * stages wait.
 */
export const MAX_ADVICE_BACKLOG_MS = 30;

/** Backoff per failed advice call in a row, in milliseconds. */
export const ADVICE_RETRY_MS = 100;

/** Count of run numbers per ownership term; later terms use higher numbers. */
export const RUNS_PER_TERM = 1_000;

/** Maximum number of endpoints in one advice call; the platform's limit. */
export const MAX_ADVICE_ENDPOINTS = 100;

/**
 * Number of endpoints that the calls of a stage name if that is enough: the
 * number on which the latency objective of a job counts for each step.
 */
export const USUAL_ENDPOINTS_ASKED = 30;

/** Maximum number of endpoints that the calls of a stage name at a time. */
export const MAX_ENDPOINTS_ASKED = 200;

/**
 * Room on the allowed endpoints that a stage asks for, as a multiple of its
 * waiting tasks: other stages may take some of it before the answer.
 */
export const ADVICE_ROOM_FACTOR = 2;

/** Fewest endpoints in a call when a list is split among entries. */
export const MIN_ENDPOINTS_PER_CALL = 25;

/** Fraction of the entries without a call that one stage may use at a time. */
export const SPARE_ENTRY_FRACTION = 0.25;

/**
 * Fraction of the entries that are left to calls shorter than `MAX_ADVICE_BACKLOG_MS`. One
 * entry makes a hundred calls of 10 ms a second.
 */
export const SHORT_CALL_FRACTION = 0.2;

/**
 * A run that was sent within this time before its endpoint's last sign of life is
 * suspected of a crash, in milliseconds. Covers the time until an answer or a broken
 * connection is noticed.
 */
export const SUSPECT_WINDOW_MS = 500;

/**
 * Time after its start within which a task that crashes endpoints usually does so, in
 * milliseconds. Covers the transit of the order and the loss of the connection.
 */
export const MAX_CRASH_DELAY_MS = 100;

/** Probability that a task that crashes endpoints does so later than that. */
export const LATE_CRASH_LIKELIHOOD = 0.05;

/**
 * Prior odds that a task crashes each endpoint that starts it: one task in ten thousand.
 */
export const CRASHING_TASK_ODDS = 0.0001;

/**
 * Probability that a task that crashes endpoints outlives a probation, as in a crash
 * that depends on its input or its progress.
 */
export const CLEARED_LIKELIHOOD = 0.01;

/**
 * Probability of being the cause from which a task is tried apart from other work: a
 * trial costs a second of one endpoint, a crash the runs of one.
 */
export const TRIAL_PROBABILITY = 0.01;

/**
 * Largest probability that a job is given up for crashes which its task did not cause,
 * for each task of the job: in a day of 5,000 tasks, all among restarts, less than one job
 * in a hundred such days.
 */
export const FALSE_POSITIVE_RATE = 1e-6;

/** A crash that is at least this likely without the suspect says nothing of it. */
export const NEGLIGIBLE_CHANCE = 0.5;

/** Crashes that are less likely than this without a suspect are laid to it by earlier versions. */
export const TELLING_CHANCE = 0.1;

/** Shorter one of the times over which the background rate is measured, in ms. */
export const SHORT_WINDOW_MS = 5_000;

/**
 * How long crashes are kept as evidence about others, in milliseconds; also the longer one
 * of these times.
 */
export const CRASH_HISTORY_MS = 30_000;

/**
 * Endpoints whose last signs of life and losses of contact overlap within this time
 * were lost together, in milliseconds. Covers the owner's delay in noticing.
 */
export const SAME_MOMENT_MS = 100;

/**
 * Time from hearing of a crash until the evidence about it is complete, in milliseconds:
 * contact with other endpoints that were lost at the same moment has timed out by then.
 */
export const CRASH_SETTLE_MS = 1_500;

/**
 * Lowest chance of a crash whose owner ended before that: three of them give a job up.
 */
export const UNSETTLED_CHANCE = 0.009;

/** Time for which blame may be taken back after that, in milliseconds. */
export const CRASH_REVISION_MS = 10_000;

/** Time between two judgements of recent crashes, in milliseconds. */
export const JUDGE_INTERVAL_MS = 250;

/** Blame that is already recorded is revised only if its chance grows by this factor. */
export const MIN_CHANCE_GROWTH = 2;

/**
 * How long the times of an endpoint's starts are kept, in milliseconds: until crashes at
 * the same moment have been heard of and settled.
 */
export const START_HISTORY_MS = 10_000;

/**
 * Time for which a suspect runs apart from other starts, in milliseconds. A run that
 * is listed after it clears its task.
 */
export const PROBATION_MS = 1_000;

/**
 * Probability of being the cause from which a task starts by trial only, however long it
 * waits, and from which the crash of its trial lowers the number of further trials.
 */
export const LIKELY_CAUSE_PROBABILITY = 0.5;

/**
 * Longest time for which a less likely cause waits for its trial, in milliseconds, unless
 * a trial of its queue has crashed its endpoint lately: a first trial has a result by then
 * (`MAX_TRIAL_MS` and `CRASH_SETTLE_MS`). Load: suspects come faster than trials end.
 */
export const MAX_TRIAL_WAIT_MS = 6_000;

/**
 * Longest time for which a trial without a result counts as in progress, in
 * milliseconds: the end of a lifetime is heard of within a lease.
 */
export const MAX_TRIAL_MS = 4_000;

/**
 * Largest fraction of a service's endpoints on which the suspects of one queue are tried
 * at the same time.
 */
export const MAX_TRIAL_FRACTION = 0.25;

/** That number in a cell of few endpoints. */
export const SMALL_CELL_TRIALS = 3;

/** Delay after the first crash of a suspect's trial, in ms; doubles with each. */
export const SUSPECT_RETRY_MS = 500;

/** Longest delay after the crash of a suspect's trial, in milliseconds. */
export const MAX_SUSPECT_RETRY_MS = 4_000;

/**
 * Largest checkpoint that is stored, in bytes: the record of an end is under the size of
 * a commit, even where JSON takes six bytes for one.
 */
export const MAX_CHECKPOINT_BYTES = 65_536;

/**
 * A task that a former owner placed longer than this before the take-over is not
 * suspected of a crash, in milliseconds.
 */
export const FORMER_START_MS = 10_000;

/**
 * Chances of crashes that earlier versions recorded without one: of the first crash or
 * one beside other suspects, of one that was laid to a single task, and of one among
 * many. Their sums give a job up after as many crashes as those versions did.
 */
export const EARLIER_SINGLE_CHANCE = 10 ** -2.3;
/** See `EARLIER_SINGLE_CHANCE`. */
export const EARLIER_ATTRIBUTABLE_CHANCE = 10 ** -3.71;
/** See `EARLIER_SINGLE_CHANCE`. */
export const EARLIER_WIDESPREAD_CHANCE = 10 ** -1.45;
