import type { Demand, EndKind, JobSpec, JobState } from "../jobs/mod.ts";
import type { RunProgress } from "../runtimes/mod.ts";
import type { StartOrder } from "./order_types.ts";

export * from "./decision_types.ts";
export * from "./order_types.ts";

/** An endpoint as the platform's list describes it. */
export interface EndpointInfo {
  id: string;
  address: string;
  service: string;
  domain: string;
  /** Labels that a step can require. */
  labels: string[];
  rack: string;
  capacity: Demand;
  /** The endpoint is leaving the cluster and gets no new work. */
  isDraining: boolean;
  /** Least time until a draining endpoint is gone, in ms; undefined: not known. */
  remainingMs?: number;
  /**
   * When the endpoint's lifetime started, in Unix milliseconds, as the platform's
   * list says; 0: the list does not say.
   */
  bornAt: number;
}

/** An organisation's share and quota. */
export interface OrganisationRules {
  name: string;
  /** Share of the organisation, in jobs per second; 0: unlimited. */
  weight: number;
  /** Quota of resources in use at the same time; 0: unlimited. */
  cap: Demand;
}

/** Phase of a run in the view of the cell's owner. */
export enum RunPhase {
  /** The start order is being stored or is in flight. */
  Starting = "starting",
  /** The start order got no answer; a later listing shows whether it runs. */
  Unacknowledged = "unsure",
  Running = "running",
  /** A stop was ordered; the endpoint has not listed the end of the run yet. */
  Stopping = "stopping",
}

/** The start of a gang's member, which is repeated while it gets no answer. */
export interface GangStart {
  order: StartOrder;
  /** When it was sent for the first time; undefined: it was not. */
  firstSentAt?: number;
  repeats: number;
  isRepeatInFlight: boolean;
  /** It was refused, or must not be sent any more. */
  isClosed: boolean;
}

/** Where the listed progress of a run began. */
export interface FirstProgress {
  /** When a listing first showed the run. */
  listedAt: number;
  /** When the progress first changed; undefined: it has not. */
  changedAt?: number;
  /** Progress at that change, in percent; in the first listing until then. */
  percent: number;
}

/**
 * One run of a task on an endpoint. A run occupies its resources until it is
 * released: its end is listed, its lease has expired, or it cannot exist any
 * more.
 */
export interface Run {
  task: string;
  number: number;
  endpoint: Endpoint;
  /** Resources taken from the endpoint's capacity. */
  demand: Demand;
  /** Resources charged to the organisation's quota. */
  charge: Demand;
  organisation: string;
  phase: RunPhase;
  /**
   * Time of the last order, answer or change of phase. A listing requested
   * later than this must show the run if it exists.
   */
  lastChangedAt: number;
  startedAt: number;
  /** When a listing last showed a new checkpoint of the run. */
  savedAt?: number;
  /** A listing showed a checkpoint of the run that is too large to be stored. */
  hasLargeCheckpoint?: true;
  /** Lifetime of the endpoint that was known when the start was sent; 0: not sent. */
  sentToBornAt: number;
  /** When this owner sent the start order; undefined: it has not. */
  sentAt?: number;
  /** Highest fencing token with which the start was sent; 0: not sent. */
  sentFence: number;
  /**
   * The endpoint acknowledged a stop in its current lifetime: a run that is then
   * not listed has ended or can no longer start in this lifetime.
   */
  isStopAcknowledged: boolean;
  isStopOrderInFlight: boolean;
  /**
   * The run is known to belong to the lifetime `endpoint.bornAt`: a listing showed
   * it. Any other run may belong to a lifetime that has not been listed yet.
   */
  isLifetimeKnown: boolean;
  /**
   * Time by which its lease has certainly ended if a lifetime that has not been listed
   * yet carried out its start; 0: the start was not answered.
   */
  unlistedLeaseEndsAt: number;
  /**
   * Time until which the unanswered start order may still be carried out, by any
   * lifetime of the endpoint; 0: not sent, or carried out.
   */
  startMayArriveUntil: number;
  /**
   * Time from which the start order has been carried out or can't be any more, by any
   * lifetime of the endpoint; 0: not sent.
   */
  startSettledAt: number;
  /** The start order carries a ticket, which no later lifetime accepts. */
  hasTicket: boolean;
  /** The lease of the start order that is on its way; undefined: none is. */
  leaseOrder?: LeaseOrder;
  /** Progress as last listed, in percent. */
  percent: number;
  /** The run resumes from a checkpoint, so its progress began above 0. */
  isResumed?: boolean;
  /** What the model of run times observes; null: nothing (more). */
  progress?: RunProgress | null;
  /** When the listed progress last changed. */
  progressAt: number;
  /** The start of a gang's member and its repeats; undefined: of no gang, or adopted. */
  gangStart?: GangStart;
  /** Where the listed progress began; undefined: no listing has shown the run. */
  firstProgress?: FirstProgress;
  /**
   * Pace of this run as last acknowledged, in percent of full speed;
   * `undefined` while unknown, since a former owner may have changed it.
   */
  pace: number | undefined;
  isPaceOrderInFlight: boolean;
  /**
   * Tail latency of a serving task, in milliseconds, or cores in use by any
   * other task, in thousandths; measured over the last half second.
   */
  gauge: number;
}

/** Throttle of an endpoint's best-effort runs. */
export interface Throttle {
  /** Pace in percent of full speed; 0: paused. */
  percent: number;
  changedAt: number;
}

/** Signs of life of an endpoint. Times: the owner's steady clock, in ms; 0: none. */
export interface EndpointContact {
  lastSignAt: number;
  /** When a poll failed for the first time since the last answer. */
  lostAt: number;
  /** Runs whose leases have expired since the last answer. */
  lapsedRuns: Run[];
  /** The lifetime, by its start, whose end has been noted last. */
  endedBornAt: number;
}

/** Fencing tokens of the orders to one endpoint; 0: none. */
export interface EndpointFence {
  /** Token that orders carry. */
  current: number;
  /** Highest token that the present lifetime is known to have accepted. */
  accepted: number;
  /** Highest token of an order without an answer. */
  unanswered: number;
  /** The same of an acknowledgement of ends. */
  unansweredAck: number;
}

/** The announced end of a draining endpoint. */
export interface EndpointLeaving {
  /** Time left as its record says, in milliseconds. */
  remainingMs: number;
  /** Lifetime of the record, by its start, in Unix milliseconds. */
  bornAt: number;
  /** The owner's steady clock, in milliseconds. */
  leavesAt: number;
}

/**
 * An order with a lease that is on its way or got no answer. Times: the owner's steady
 * clock, in milliseconds.
 */
export interface LeaseOrder {
  sentAt: number;
  /** Lifetime of the endpoint that was known then, by its start. */
  bornAt: number;
  /** Fencing token that it carries. */
  fence: number;
  /** Lease that it names. */
  namedMs: number;
  /** Longest lease that it grants, by the owner's clock. */
  leaseMs: number;
  /** When it may be carried out at the latest, by any lifetime. */
  latestArrivalAt: number;
  /** When the lifetime in `bornAt` had accepted a higher token; infinite: it has not. */
  fencedOffAt: number;
}

/** Leases of an endpoint. Times: the owner's steady clock, in milliseconds; 0: none. */
export interface EndpointLeases {
  /** When the leases that were granted in time have ended. */
  grantedUntil: number;
  /** Until when they don't count as ended, for starts that are planned. */
  reservedUntil: number;
  /** When the leases have ended that a lifetime not listed yet may have granted. */
  unlistedUntil: number;
  /** When the newest answered renewal to the present lifetime was sent. */
  renewedAt: number;
  orders: Set<LeaseOrder>;
  /** The end of all leases of a lifetime, once computed; undefined: they have changed. */
  end?: { bornAt: number; at: number };
}

/** An endpoint in the view of the cell's owner. */
export interface Endpoint {
  info: EndpointInfo;
  /**
   * Most room of each resource that this lifetime of the endpoint has shown to this
   * owner; the room may shrink and grow again while the endpoint runs.
   */
  fullRoom: Demand;
  /** The platform's current list contains the endpoint. */
  isListed: boolean;
  /**
   * The record of the endpoint has not been written since an outage of the store: its
   * room may have shrunk.
   */
  isRecordOutdated: boolean;
  /** The journal holds a committed record that tasks may run there. */
  isRecorded: boolean;
  /**
   * The record that tasks may run there was issued; it may not be committed
   * yet.
   */
  isRecording: boolean;
  /**
   * When the endpoint's current lifetime (process) started, in Unix
   * milliseconds; 0: not known yet.
   */
  bornAt: number;
  /** The endpoint accepted this owner's fencing token in this lifetime. */
  hasAcceptedFence: boolean;
  /**
   * Another endpoint answers at its address: this endpoint and all its runs are
   * gone.
   */
  isReplaced: boolean;
  /**
   * Endpoint clock minus this process's clock, in milliseconds. This is a lower
   * bound, because the network delay of the listing is not known.
   */
  clockOffset: number;
  leases: EndpointLeases;
  /** Number of the last listed end that was applied. */
  lastEndNumber: number;
  /** Number of the last end that is committed to the journal. */
  committedEndNumber: number;
  /** Fencing tokens of its orders. */
  fence: EndpointFence;
  /** Send time of the last unanswered acknowledgement of ends. */
  unansweredEndsAckAt: number;
  /**
   * Time until which nothing is started there because such an acknowledgement, meant for
   * a former lifetime, may still arrive; 0: none can.
   */
  lateAckUntil: number;
  /** Time of the last order with a lease that got no answer. */
  unansweredLeaseAt: number;
  /**
   * What the newest applied listing proves of runs that it does not show; undefined:
   * there is none yet.
   */
  proof: ListingProof | undefined;
  /** When the newest applied listing was requested; 0: none yet. */
  lastListingAskedAt: number;
  /** When the newest applied listing arrived. */
  lastListingAt: number;
  runs: Map<string, Run>;
  used: Demand;
  /**
   * No runs are started on the endpoint before this time; set after a refused
   * start, for instance.
   */
  pausedUntil: number;
  /**
   * Time until which the endpoint gets no starts because it did not answer. The
   * next answer of the endpoint ends the pause early.
   */
  unresponsiveUntil: number;
  /**
   * Endpoint clock in the newest listing, to ignore listings that arrive out
   * of order.
   */
  lastListingClock: number;
  /** Failed runs in a row; repeated failures of one job count once. */
  failuresInRow: number;
  lastFailedJob: string;
  /** End of the ejection; 0: not ejected. */
  ejectedUntil: number;
  throttle: Throttle;
  /**
   * Best-effort and serving runs share the endpoint's cores; such an endpoint
   * is polled more often.
   */
  isColocated: boolean;
  /** No new work: the endpoint is about to go down for maintenance. */
  isCordoned: boolean;
  contact: EndpointContact;
  /** When this owner heard of the current lifetime, or of a replacement; 0: it has not. */
  lifetimeSeenAt: number;
  /** When start orders were sent to it, within `START_HISTORY_MS`. */
  recentStarts: number[];
  /** When a listing may show the next stall; undefined: the polls need not heed it. */
  stallCheckAt?: number;
  /** When the endpoint is gone at the earliest; undefined: not known. */
  leaving?: EndpointLeaving;
}

/** Phase of a task in the view of the cell's owner. */
export enum TaskPhase {
  Waiting = "waiting",
  Placed = "placed",
  /** The task may still run on the endpoint where a former owner placed it. */
  Unlocated = "unlocated",
  Done = "done",
}

/** The end of one lifetime of an endpoint, counted for a task. */
export interface CountedCrash {
  /** Run that was suspected. */
  run: number;
  endpoint: string;
  /** Start of the lifetime that ended, in Unix milliseconds. */
  bornAt: number;
  /** How likely it was without the task, relative to a task that crashes endpoints. */
  chance: number;
  /** The evidence was complete: the journal holds the crash, unless `isMissing`. */
  isSettled: boolean;
  /** The endpoint is only missing from the list, and its lifetime may answer again. */
  isMissing?: boolean;
}

/** Crashes of endpoints that a task is suspected of. */
export interface TaskCrashes {
  /** The suspected runs, one for each lifetime that ended under the task. */
  counted: CountedCrash[];
  /** Highest run number that outlived its probation; 0: none. */
  clearedRun: number;
  /** Since when it waits for a trial; the owner's steady clock, in milliseconds. */
  suspectedAt: number;
  /** Earliest time of the next start. */
  retryAt: number;
}

/** How the suspects of a queue are tried. */
export interface TrialLimit {
  /** How many at the same time. */
  limit: number;
  /** When the trial of a likely cause crashed its endpoint; steady clock, in ms. */
  loweredAt: number;
}

/** One task of a stage. */
export interface Task {
  name: string;
  phase: TaskPhase;
  run?: Run;
  /** Highest run number used so far; run numbers fence older runs. */
  lastRun: number;
  /** Highest run number whose end is recorded. */
  lastEndedRun: number;
  failures: number;
  /** Progress that the next run resumes from; empty: none. */
  checkpoint: string;
  /** Earliest time of the next start. */
  notBefore: number;
  /** Backoff before the next retry, in milliseconds. */
  retryDelayMs: number;
  /** Id of the endpoint on which the task failed last; empty: none. */
  avoidEndpoint: string;
  /** Id of the endpoint on which the journal places the task; empty: none. */
  placedOn: string;
  /** Lifetime of that endpoint at the placement, by its start; 0: not known. */
  placedBornAt: number;
  /** Time of the placement, in Unix milliseconds; 0: not known. */
  placedAt: number;
  crashes: TaskCrashes;
}

/**
 * What may still run where a former owner placed it although its task needs no
 * further run: the job has ended, or the task is done. It counts towards the
 * quota until the endpoint's listing settles it.
 */
export interface Remnant {
  task: string;
  /** Id of the endpoint. */
  endpoint: string;
  /** Resources taken from the endpoint's capacity. */
  demand: Demand;
  /** Resources charged to the organisation's quota. */
  charge: Demand;
  organisation: string;
}

/** Permission from the policy service to start a step on one endpoint. */
export interface Ticket {
  ticket: string;
  /** Lifetime of the endpoint for which the ticket was issued. */
  bornAt: number;
  expiresAt: number;
}

/** Answers of the policy service for a stage. */
export interface StageAdvice {
  /**
   * Newest ticket of each endpoint that may run the step. Tickets expire; the
   * set of endpoints stays valid.
   */
  allowedEndpoints: Map<string, Ticket>;
  /** Endpoints that were named in answered advice calls, allowed or not. */
  askedEndpoints: Set<string>;
  /** Number of advice calls for the stage that are in flight. */
  callsInFlight: number;
  retryAt: number;
  failures: number;
}

/** One step of one occurrence of a job. */
export interface Stage {
  name: string;
  job: Job;
  occurrence: number;
  step: number;
  /** Deadline by the latency objective, on this process's steady clock. */
  dueAt: number;
  /** When the result loses its value, on this process's steady clock. */
  expiresAt: number;
  tasks: Task[];
  /** Number of tasks that are not done. */
  remaining: number;
  /** Number of tasks that wait to be started. */
  waitingTasks: number;
  /**
   * All steps that the stage depends on are done, and its start time has come.
   */
  isReady: boolean;
  gangFailures: number;
  /** Number of the gang's newest run whose end the model of run times has observed. */
  observedRun?: number;
  advice: StageAdvice;
}

/** One accepted job that has not ended, or whose end is not committed. */
export interface Job {
  spec: JobSpec;
  /** Time of day, in Unix milliseconds. */
  acceptedAt: number;
  /**
   * The job exceeds its organisation's share; it is scheduled after jobs that
   * are within theirs.
   */
  isOverShare: boolean;
  /** Deadline by the latency objective, on this process's steady clock. */
  dueAt: number;
  /** When the result loses its value, on this process's steady clock. */
  expiresAt: number;
  /** None while the job is deferred. */
  stages: Stage[];
  /** What the job counts in the budget of held tasks; 0 while it is deferred. */
  heldTasks: number;
  /** The log says that the job is deferred. */
  isDeferralLogged?: boolean;
  /** Number of stages that are not done. */
  remaining: number;
  hasStarted: boolean;
  /** Final state as decided by the owner; may not be committed yet. */
  outcome?: JobState;
  /** Final state shown to callers; set once it is committed. */
  reportedOutcome?: JobState;
  /** The journal holds the acceptance of the job. */
  isCommitted: boolean;
}

/** An ended job, kept for a while to answer queries. */
export interface EndedJob {
  organisation: string;
  state: JobState;
  /**
   * When the end was committed, or restored by a later owner, in Unix
   * milliseconds.
   */
  at: number;
}

/** A running task in an endpoint's listing. */
export interface ListedRun {
  task: string;
  run: number;
  /** Newest checkpoint of the run; empty: none. */
  saved: string;
  percent: number;
  /**
   * Tail latency of a serving task, in milliseconds, or cores in use by any
   * other task, in thousandths.
   */
  gauge: number;
}

/** A finished run in an endpoint's listing. */
export interface ListedEnd {
  /** Sequence number of the end within the endpoint's lifetime. */
  number: number;
  task: string;
  run: number;
  end: EndKind;
  /** Last checkpoint of the run; empty: none. */
  saved: string;
}

/** How many of an endpoint's unacknowledged ends a listing shows. */
export enum ListingExtent {
  /** All of them. */
  Whole = "whole",
  /** The oldest ones; the others follow once these are acknowledged. */
  CutOff = "cut_off",
}

/** What a listing proves of the runs that it does not show. */
export interface ListingProof {
  extent: ListingExtent;
  /** Lifetime that wrote the listing, by its start, in Unix milliseconds. */
  bornAt: number;
  /** When the listing was asked for; the owner's steady clock, in milliseconds. */
  askedAt: number;
}

/** An endpoint's report of its running tasks and unacknowledged ends. */
export interface EndpointListing {
  bornAt: number;
  /** The endpoint's clock when it wrote the listing, in milliseconds. */
  clockMs: number;
  running: ListedRun[];
  ended: ListedEnd[];
  /** Whether `ended` was cut off; `running` never is. */
  extent: ListingExtent;
}
