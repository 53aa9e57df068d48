import type { AdmissionOutcome, AdviceAnswer } from "../cell/mod.ts";
import type { EvacuationReport } from "../evacuation/mod.ts";
import type { JobSpec, JobState } from "../jobs/mod.ts";

/** Parameters and results of the methods that entries call on each other. */
export interface LinkMethods {
  "link.heartbeat": { params: Heartbeat; result: HeartbeatReply };
  "owner.ready": { params: { term: number }; result: true };
  "job.submit": { params: { job: JobSpec }; result: SubmitReply };
  "job.cancel": { params: JobQuery; result: CancelReply };
  "job.find": { params: JobQuery; result: { state: JobState } | null };
  "evacuation.list": {
    params: Record<string, never>;
    result: EvacuationReport[];
  };
  "queue.count": { params: { queue: string }; result: number };
  "advice.ask": {
    params: { stage: string; endpoints: string[]; timeoutMs: number };
    result: AdviceAnswer;
  };
}

/** Sent by the entry that opened a link. */
export interface Heartbeat {
  /** Name of the sender. */
  entry: string;
  /**
   * Processor speed of the sender's VM, in cores; 0 while it cannot reach the
   * store and so cannot own the cell. Earlier versions do not send it.
   */
  cores?: number;
}

/** Answer of the cell's owner to a heartbeat. */
export interface HeartbeatReply {
  /** Processor speed of the largest VM linked to the owner, its own included. */
  largestCores?: number;
  /** The owner reads the configuration from the store; absent: not known. */
  isStoreReachable?: boolean;
  /**
   * The owner has restored the cell and serves callers. An owner of an earlier
   * version answers `true` instead of an object, and is taken to be ready.
   */
  isReady?: boolean;
}

/** Name of a method that entries call on each other. */
export type LinkMethod = keyof LinkMethods;

/** Identifies a job of an organisation. */
export interface JobQuery {
  id: string;
  organisation: string;
}

/** Result of a submission; with `isUnknown`, the job may be accepted or not. */
export type SubmitReply =
  | (AdmissionOutcome & { isUnknown?: false })
  | { isUnknown: true };

/** Results of a cancellation. */
export enum CancelReply {
  Cancelled = "cancelled",
  NoSuchJob = "no_such_job",
  /** The effect is unknown: the cancellation may not be committed. */
  Unknown = "unknown",
}

/** Handlers of all methods that entries call on each other. */
export type LinkHandlers = {
  [M in LinkMethod]: (
    params: LinkMethods[M]["params"],
  ) => Promise<LinkMethods[M]["result"]> | LinkMethods[M]["result"];
};
