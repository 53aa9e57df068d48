import type { AdmissionOutcome, AdviceAnswer } from "../cell/mod.ts";
import type { JobSpec, JobState } from "../jobs/mod.ts";

/** Methods between entries: parameters and results. */
export interface LinkMethods {
  "link.heartbeat": { params: { entry: string }; result: true };
  "job.submit": { params: { job: JobSpec }; result: SubmitReply };
  "job.cancel": { params: JobQuery; result: CancelReply };
  "job.find": { params: JobQuery; result: { state: JobState } | null };
  "queue.count": { params: { queue: string }; result: number };
  "advice.ask": {
    params: { stage: string; endpoints: string[]; timeoutMs: number };
    result: AdviceAnswer;
  };
}

/** Names of the methods between entries. */
export type LinkMethod = keyof LinkMethods;

/** Names one job of one organisation. */
export interface JobQuery {
  id: string;
  organisation: string;
}

/** How a job was taken; `isUnknown`: it may yet be accepted. */
export type SubmitReply =
  | (AdmissionOutcome & { isUnknown?: false })
  | { isUnknown: true };

/** How a job was cancelled. */
export enum CancelReply {
  Cancelled = "cancelled",
  NoSuchJob = "no_such_job",
  /** The cancellation is decided, but not yet known to last. */
  Unknown = "unknown",
}

/** One handler for each method that this side serves. */
export type LinkHandlers = {
  [M in LinkMethod]: (
    params: LinkMethods[M]["params"],
  ) => Promise<LinkMethods[M]["result"]> | LinkMethods[M]["result"];
};
