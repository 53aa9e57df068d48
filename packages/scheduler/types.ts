import type { OrganisationRules } from "../cell/mod.ts";
import type { JobState, QueueRules, StepSpec } from "../jobs/mod.ts";

/** A queue, and the host and path prefix that callers use for it. */
export interface QueueRoute extends QueueRules {
  host: string;
  prefix: string;
  /** Requests need no key. */
  isOpen: boolean;
}

/** An organisation with its keys. */
export interface OrganisationConfig extends OrganisationRules {
  keys: string[];
}

/** One version of the operators' configuration. */
export interface SiteConfig {
  version: number;
  queues: QueueRoute[];
  organisations: OrganisationConfig[];
  maxBodyBytes: number;
}

/** The stored record of the cell's owner, with the address for links to it. */
export interface OwnerRecord {
  entry: string;
  /** Id of the owner's process, different for each start. */
  incarnation: string;
  host: string;
  port: number;
  term: number;
  lease: number;
}

/** Question of an owner to the entries that it does not reach. */
export interface IsolationQuestion {
  id: string;
  /** Share of the entries that shall answer, above 0, up to 1. */
  share: number;
  /** The owner may leave the cell: entries that reach it shall not claim it first. */
  isSuspected: boolean;
}

/** Why an entry no longer owns the cell. */
export enum OwnershipEndCause {
  LeaseExpired = "lease_expired",
  /** Another entry owns the cell. */
  Superseded = "superseded",
  /** More entries reach the store without the owner than with it. */
  Isolated = "isolated",
  /** Another entry carries the cell better. */
  HandedOver = "handed_over",
  /** An unexpected error. */
  Failed = "failed",
  /** The entry stops. */
  Stopped = "stopped",
}

/** The end of an ownership. */
export interface OwnershipEnd {
  cause: OwnershipEndCause;
  reason: string;
}

/** Outcome of a caller's request. */
export enum AnswerKind {
  Accepted = "accepted",
  State = "state",
  Count = "count",
  Cancelled = "cancelled",
  NoSuchJob = "no_such_job",
  NoSuchQueue = "no_such_queue",
  Unauthenticated = "unauthenticated",
  BadRequest = "bad_request",
  /** The request has no effect: the cell does not admit the job now. */
  Refused = "refused",
  /** The request has no effect: another organisation has a job with this id. */
  IdTaken = "id_taken",
  /** The request has no effect: this entry cannot serve it now. */
  Unavailable = "unavailable",
  /**
   * The request may have taken effect: the caller may retry with the same id.
   */
  Unknown = "unknown",
}

/** Answer to a caller's request. */
export interface CallerAnswer {
  kind: AnswerKind;
  detail: string;
  state?: JobState;
  count?: number;
  retryAfterMs?: number;
  /** Another entry can serve the request now; the caller should reconnect. */
  isServedElsewhere?: boolean;
}

/** The common part of all callers' requests. */
export interface CallerRequest {
  /** Name of the queue; if absent, `host` and `path` select it. */
  queue?: string;
  host: string;
  path: string;
  key: string;
  /** Time for which the caller waits, in milliseconds; 0 if not given. */
  deadlineMs: number;
}

/** A job as submitted by a caller. */
export interface JobRequest {
  id: string;
  payload: string;
  steps: StepSpec[];
  occurrences: number;
  firstRunAt: number;
  intervalMs: number;
}

/** The queue and organisation of a request that passed the checks. */
export interface AdmittedCaller {
  queue: QueueRoute;
  /** Name of the organisation; empty for an open queue. */
  organisation: string;
}
