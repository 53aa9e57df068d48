import type { Demand, EndKind, JobSpec, JobState } from "../jobs/mod.ts";

/** What the platform says of an endpoint. */
export interface EndpointInfo {
  id: string;
  address: string;
  service: string;
  domain: string;
  /** What steps may ask for. */
  labels: string[];
  rack: string;
  capacity: Demand;
  /** It is leaving: it gets no new work. */
  isDraining: boolean;
}

/** An organisation's share and limit. */
export interface OrganisationRules {
  name: string;
  /** Share when all is full. */
  weight: number;
  /** Most that may run at once; 0 for a resource: no limit. */
  cap: Demand;
}

/** What is known of one run on an endpoint. */
export enum RunPhase {
  /** The order is under way. */
  Starting = "starting",
  /** The order had no answer; the next listing tells. */
  Unsure = "unsure",
  Running = "running",
  /** It was told to stop; its end has not been listed. */
  Stopping = "stopping",
}

/** One run of a task on an endpoint; it takes room until its end is listed. */
export interface Run {
  task: string;
  number: number;
  endpoint: Endpoint;
  /** What it takes of the endpoint's capacity. */
  demand: Demand;
  /** What it counts against its organisation's cap. */
  charge: Demand;
  organisation: string;
  phase: RunPhase;
  /** A listing asked for after this time must show the run, if it exists. */
  settledAt: number;
  startedAt: number;
  /** A stop was acknowledged: if it is not listed it never ran. */
  isStopAcknowledged: boolean;
  isStopUnderWay: boolean;
  percent: number;
  progressAt: number;
  /**
   * The share of its work that it may do, in percent, as last acknowledged;
   * `undefined` when a former owner may have set another.
   */
  pace: number | undefined;
  isPaceUnderWay: boolean;
  /**
   * Over the last half second: the tail of its response times in ms for a task
   * that serves, and thousandths of a core in use for any other.
   */
  gauge: number;
}

/** How far the filling runs of an endpoint are held back. */
export interface Throttle {
  /** The share of their work that they may do, in percent. */
  percent: number;
  changedAt: number;
}

/** One endpoint as its owner knows it. */
export interface Endpoint {
  info: EndpointInfo;
  /** False once the platform no longer lists it. */
  isListed: boolean;
  /** The store holds that tasks may run there. */
  isRecorded: boolean;
  isRecording: boolean;
  /** Start of its present lifetime, Unix milliseconds; 0: not yet known. */
  bornAt: number;
  /** It has acknowledged this owner's fence in this lifetime. */
  isHeld: boolean;
  /** Another endpoint answers at its address: it is gone, with all its runs. */
  isReplaced: boolean;
  /** Its clock less this process's clock, at most. */
  clockOffset: number;
  /** When every lease that it may hold has ended for certain. */
  leaseEndsAt: number;
  /** Last end that was applied; last one that the store holds. */
  lastEnd: number;
  committedEnd: number;
  /** When a note of ends was sent that has had no answer. */
  unansweredNoteAt: number;
  runs: Map<string, Run>;
  used: Demand;
  /** It refused a start: it gets none before this time. */
  pausedUntil: number;
  /** It did not answer: it gets no start before this time or its answer. */
  silentUntil: number;
  /** Its clock in the newest listing; listings can overtake each other. */
  listedClock: number;
  failuresInRow: number;
  lastFailedJob: string;
  ejectedUntil: number;
  throttle: Throttle;
  /** Serving and filling runs work there side by side: it is watched closely. */
  isShared: boolean;
  /** It gets no new work: it is about to go down for its upkeep. */
  isClosing: boolean;
}

/** Where a task stands. */
export enum TaskPhase {
  Waiting = "waiting",
  Placed = "placed",
  /** It may still run where a former owner started it. */
  Unlocated = "unlocated",
  Done = "done",
}

/** One task of a stage. */
export interface Task {
  name: string;
  phase: TaskPhase;
  run?: Run;
  /** Highest run number used so far. */
  lastRun: number;
  /** Highest run number whose end is recorded. */
  lastEndedRun: number;
  failures: number;
  saved: string;
  notBefore: number;
  pause: number;
  /** Endpoint on which it failed last. */
  avoid: string;
  /** Endpoint that the store holds it may run on; empty: on none. */
  placedOn: string;
}

/** A ticket of the policy service for one endpoint. */
export interface Ticket {
  ticket: string;
  bornAt: number;
  expiresAt: number;
}

/** What is known of the policy's answer for a stage. */
export interface StageAdvice {
  /** Endpoints that may run the step; this does not change. */
  allowed: Map<string, Ticket>;
  asked: Set<string>;
  isAsking: boolean;
  retryAt: number;
  failures: number;
}

/** One step of one occurrence of a job. */
export interface Stage {
  name: string;
  job: Job;
  occurrence: number;
  step: number;
  /** When its objective ends, in this process's time. */
  dueAt: number;
  /** From then on it earns nothing, in this process's time. */
  expiresAt: number;
  tasks: Task[];
  remaining: number;
  /** Tasks that wait, so that stages with none are passed over. */
  waiting: number;
  /** Every earlier step is done and its time has come. */
  isReady: boolean;
  gangFailures: number;
  advice: StageAdvice;
}

/** One job of the cell. */
export interface Job {
  spec: JobSpec;
  /** Unix milliseconds. */
  acceptedAt: number;
  /** Beyond the organisation's share of jobs a second: served after others. */
  isOverShare: boolean;
  /** When its objective ends, in this process's time. */
  dueAt: number;
  /** From then on it earns nothing, in this process's time. */
  expiresAt: number;
  stages: Stage[];
  remaining: number;
  hasStarted: boolean;
  /** What the decisions made of it. */
  outcome?: JobState;
  /** What callers are told: set once the store holds it. */
  shownOutcome?: JobState;
  isCommitted: boolean;
}

/** A job that has ended and is remembered for its caller. */
export interface EndedJob {
  organisation: string;
  state: JobState;
  at: number;
}

/** One row of an endpoint's list of runs. */
export interface ListedRun {
  task: string;
  run: number;
  saved: string;
  percent: number;
  /** Tail of response times in ms, or thousandths of a core in use. */
  gauge: number;
}

/** One row of an endpoint's list of ends. */
export interface ListedEnd {
  number: number;
  task: string;
  run: number;
  end: EndKind;
  saved: string;
}

/** What an endpoint reports about itself. */
export interface EndpointListing {
  bornAt: number;
  clockMs: number;
  running: ListedRun[];
  ended: ListedEnd[];
}

/** Orders of the cell to the outside. */
export enum OrderKind {
  Start = "start",
  Stop = "stop",
  Pace = "pace",
  AskAdvice = "ask_advice",
}

/** One order that the cell's host has to carry out. */
export type Order =
  | {
    kind: OrderKind.Start;
    run: Run;
    payload: string;
    saved: string;
    ticket: string;
    /** The order is not sent later than this. */
    ticketEndsAt: number;
  }
  | { kind: OrderKind.Stop; run: Run }
  | { kind: OrderKind.Pace; run: Run; percent: number }
  | {
    kind: OrderKind.AskAdvice;
    stage: Stage;
    endpoints: string[];
    costMs: number;
  };

/** An order to start a run; it is sent once the store holds the placement. */
export type StartOrder = Extract<Order, { kind: OrderKind.Start }>;

/** How an endpoint answered an order to start. */
export enum StartResult {
  Started = "started",
  /** The endpoint serves a newer owner. */
  Deposed = "deposed",
  /** The run number is not higher than one that it knows. */
  OldRun = "old_run",
  /** The lease of the order had ended when it arrived. */
  LateOrder = "late_order",
  NoRoom = "no_room",
  TicketExpired = "ticket_expired",
  OtherLifetime = "other_lifetime",
  BadRequest = "bad_request",
  /** The endpoint did nothing. */
  Unavailable = "unavailable",
  /** No answer: the task may run. */
  Unknown = "unknown",
}

/** How an endpoint answered an order to stop. */
export enum StopResult {
  Acknowledged = "acknowledged",
  Deposed = "deposed",
  OtherLifetime = "other_lifetime",
  Unknown = "unknown",
}

/** How an endpoint answered an order to change a run's pace. */
export enum PaceResult {
  Acknowledged = "acknowledged",
  Deposed = "deposed",
  /** The run is not there, or the endpoint takes no orders now. */
  Refused = "refused",
  Unknown = "unknown",
}

/** The answer of the policy service. */
export interface AdviceAnswer {
  tickets: { endpoint: string; ticket: string }[];
  validMs: number;
}

/** Whether a job was taken. */
export enum Admission {
  Accepted = "accepted",
  /** The same job was accepted before. */
  Known = "known",
  /** It can't be served: it never runs. */
  Refused = "refused",
  /** The entry that was asked decides nothing: another owns the cell. */
  NotOwner = "not_owner",
}

/** Outcome of handing in a job. */
export interface AdmissionOutcome {
  admission: Admission;
  reason: string;
  retryAfterMs?: number;
}

/** Why a decision was taken, for the log. */
export enum DecisionKind {
  Started = "started",
  Requeued = "requeued",
  Stopped = "stopped",
  Ended = "ended",
  JobEnded = "job_ended",
  EndpointEjected = "endpoint_ejected",
  EndpointReborn = "endpoint_reborn",
  EndpointReplaced = "endpoint_replaced",
  /** Its filling runs are held back, or let go again. */
  Throttled = "throttled",
  LeaseLapsed = "lease_lapsed",
  Adopted = "adopted",
}

/** One decision with the inputs that led to it. */
export interface Decision {
  kind: DecisionKind;
  /** Task, job or endpoint. */
  subject: string;
  inputs: Record<string, unknown>;
}
