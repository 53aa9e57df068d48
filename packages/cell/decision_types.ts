/** Kinds of decisions in the log. */
export enum DecisionKind {
  Started = "started",
  Requeued = "requeued",
  Stopped = "stopped",
  Ended = "ended",
  JobEnded = "job_ended",
  EndpointEjected = "endpoint_ejected",
  EndpointReborn = "endpoint_reborn",
  EndpointReplaced = "endpoint_replaced",
  /** A listing of runs came too late to be applied. */
  ListingIgnored = "listing_ignored",
  /** A listed checkpoint is too large; the task keeps the last one. */
  CheckpointIgnored = "checkpoint_ignored",
  /** The throttle of an endpoint's best-effort runs changed. */
  Throttled = "throttled",
  LeaseExpired = "lease_lapsed",
  Adopted = "adopted",
  /** A draining endpoint's record says how long it stays. */
  EndpointLeaving = "endpoint_leaving",
  /** The unanswered start of a gang's member was ordered again. */
  StartRepeated = "start_repeated",
  /** An endpoint's record shows less room of some resource than before. */
  RoomShrunk = "room_shrunk",
  /** An endpoint's record shows more room, and less of no resource. */
  RoomGrown = "room_grown",
  EndpointCrashed = "endpoint_crashed",
  /** The evidence about a crash is complete. */
  CrashJudged = "crash_judged",
  /** A task is proven to crash its endpoints; its job has failed. */
  TaskGivenUp = "task_given_up",
  /** A stage that fits on slow endpoints waits for faster ones. */
  StartPostponed = "start_postponed",
  /** The forecast shows that a new job cannot finish while it has value. */
  JobRefused = "job_refused",
  /** A stored job waits for room among the tasks that are held. */
  JobDeferred = "job_deferred",
  /** The forecast shows that a new job can finish while it has value. */
  JobAdmitted = "job_admitted",
  /** An organisation wants more than its share of scarce capacity. */
  ShareExceeded = "share_exceeded",
  /** An organisation wants no more than its share any more. */
  ShareKept = "share_kept",
  /** The room that is kept free for urgent work changed much. */
  HeadroomChanged = "headroom_changed",
  /** A run is stopped to make room for urgent work. */
  Preempted = "preempted",
}

/** One decision with the inputs that led to it. */
export interface Decision {
  kind: DecisionKind;
  /** Name or id of the task, job or endpoint. */
  subject: string;
  inputs: Record<string, unknown>;
}
