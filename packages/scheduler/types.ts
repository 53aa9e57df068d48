import type { OrganisationRules } from "../cell/mod.ts";
import type { JobState, QueueRules } from "../jobs/mod.ts";

/** One queue and where callers find it. */
export interface QueueRoute extends QueueRules {
  host: string;
  prefix: string;
  /** No key is needed. */
  isOpen: boolean;
}

/** One organisation with its keys. */
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

/** Where the cell's owner is. */
export interface OwnerRecord {
  entry: string;
  /** A new one with each start of the process. */
  incarnation: string;
  host: string;
  port: number;
  term: number;
  lease: number;
}

/** How a request of a caller ended. */
export enum AnswerKind {
  Accepted = "accepted",
  State = "state",
  Count = "count",
  Cancelled = "cancelled",
  NoSuchJob = "no_such_job",
  NoSuchQueue = "no_such_queue",
  Unauthenticated = "unauthenticated",
  BadRequest = "bad_request",
  /** Did not run and will not: come back later. */
  Refused = "refused",
  /** Did not run and will not: this entry can't serve it now. */
  Unavailable = "unavailable",
  /** It may have been done: ask again with the same id. */
  Unknown = "unknown",
}

/** Answer to a request of a caller. */
export interface CallerAnswer {
  kind: AnswerKind;
  detail: string;
  state?: JobState;
  count?: number;
  retryAfterMs?: number;
}

/** What every request of a caller carries. */
export interface CallerRequest {
  /** Name of the queue; none: host and path name it. */
  queue?: string;
  host: string;
  path: string;
  key: string;
  /** How long the caller waits, in milliseconds. */
  deadlineMs: number;
}
