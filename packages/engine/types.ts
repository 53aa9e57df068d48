import type { Outcome, Size, WorkKind } from "../base/mod.ts";
import type {
  EndpointListing,
  TaskLabels,
  TaskResult,
} from "../endpoints/mod.ts";
import type { TaskCounts } from "../membership/mod.ts";
import type { QueueEntry } from "../queueing/mod.ts";

/** One attempt to run one task of a request on one owner. */
export interface Attempt {
  /** Unique id, which is also the id of the task on the endpoint. */
  id: string;
  /** Id of the request. */
  work: string;
  team: string;
  queue: string;
  kind: WorkKind;
  size: Size;
  /** Milliseconds since the Unix epoch. */
  deadline: number;
  urgent: boolean;
  payload: string;
  /** Number of attempts in the queue at which a further attempt is refused. */
  maxQueued: number;
  /** Id of the gang reservation that the attempt uses, if any. */
  hold?: string;
}

/** Address, location and capacity of an endpoint, from the VM list. */
export interface EndpointSpec {
  id: string;
  /** `ip:port`. */
  address: string;
  rack: string;
  shard: number;
  size: Size;
  slots: number;
  connections: number;
  leaving: boolean;
}

/** Types of the events that an engine handles. */
export enum EngineEventType {
  Submit = "submit",
  Cancel = "cancel",
  Settle = "settle",
  Reserve = "reserve",
  ReleaseReservation = "release_hold",
  TaskEnded = "task_ended",
  Listed = "listed",
  ListFailed = "list_failed",
  EndpointsChanged = "endpoints_changed",
  GrantsChanged = "grants_changed",
  SharesChanged = "shares_changed",
  Drain = "drain",
  Tick = "tick",
}

/** An input of an engine. */
export type EngineEvent =
  | { type: EngineEventType.Submit; attempt: Attempt }
  /** Cancels an attempt. `expires` is the attempt's deadline. */
  | { type: EngineEventType.Cancel; attempt: string; expires: number }
  /**
   * Asks for the outcome of an attempt. An attempt that is unknown or still
   * waiting never starts from then on. `expires` is the attempt's deadline.
   */
  | { type: EngineEventType.Settle; attempt: string; expires: number }
  | { type: EngineEventType.Reserve; request: ReservationRequest }
  | { type: EngineEventType.ReleaseReservation; hold: string }
  | { type: EngineEventType.TaskEnded; attempt: string; result: TaskResult }
  | {
    type: EngineEventType.Listed;
    endpoint: string;
    listing: EndpointListing;
    /** When the listing was requested, in ms since the Unix epoch. */
    sentAt: number;
  }
  | { type: EngineEventType.ListFailed; endpoint: string }
  | {
    type: EngineEventType.EndpointsChanged;
    endpoints: EndpointSpec[];
    /** Shards that this entry owns. */
    owned: ReadonlySet<number>;
    /** Shards that start no more tasks, because they are being handed over. */
    quiescing: ReadonlySet<number>;
    /** This entry's running tasks on shards it has handed over, by team. */
    handedOverTasks: TaskCounts;
  }
  | {
    type: EngineEventType.GrantsChanged;
    grants: Readonly<Record<string, number>>;
  }
  | {
    type: EngineEventType.SharesChanged;
    shares: Readonly<Record<string, number>>;
  }
  | { type: EngineEventType.Drain }
  | { type: EngineEventType.Tick };

/** A request to reserve resources for several tasks of one gang. */
export interface ReservationRequest {
  /** Id of the gang reservation. */
  hold: string;
  team: string;
  tasks: number;
  size: Size;
  /** When the reservation expires, in milliseconds since the Unix epoch. */
  expires: number;
}

/** Types of the decisions that an engine's driver carries out. */
export enum DecisionType {
  Start = "start",
  Stop = "stop",
  Finish = "finish",
  Reserved = "held",
  EndpointStatus = "endpoint_status",
}

/** A decision of an engine. Decisions are carried out in their order. */
export type Decision =
  | {
    type: DecisionType.Start;
    attempt: Attempt;
    endpoint: EndpointSpec;
    labels: TaskLabels;
    /** Time that the attempt spent in the queue, in milliseconds. */
    waitedMs: number;
  }
  | { type: DecisionType.Stop; endpoint: EndpointSpec; task: string }
  | { type: DecisionType.Finish; attempt: string; outcome: Outcome }
  /** Reports how many tasks of a gang have resources reserved. */
  | { type: DecisionType.Reserved; hold: string; tasks: number }
  | {
    type: DecisionType.EndpointStatus;
    endpoint: string;
    status: EndpointStatus;
  };

/** Whether an endpoint accepts tasks and, if it does not, the reason. */
export enum EndpointStatus {
  Recovering = "recovering",
  Serving = "serving",
  Quiescing = "quiescing",
  Leaving = "leaving",
  Unreachable = "unreachable",
  Ejected = "ejected",
  Gone = "gone",
}

/** An attempt in the queue. */
export interface WaitingAttempt extends QueueEntry {
  attempt: Attempt;
  /** Milliseconds since the Unix epoch. */
  enqueuedAt: number;
  /** Number of starts of this attempt that endpoints have refused. */
  refusals: number;
}

/** Stages in the lifetime of an attempt on its owner. */
export enum AttemptStage {
  Waiting = "waiting",
  Running = "running",
  Ended = "ended",
}

/** An owner's record of an attempt. */
export interface AttemptRecord {
  stage: AttemptStage;
  attempt?: Attempt;
  endpoint?: string;
  startedAt?: number;
  enqueuedAt?: number;
  refusals: number;
  cancelled: boolean;
  outcome?: Outcome;
  endedAt?: number;
  /**
   * When the record of an ended attempt may be removed, in milliseconds since
   * the Unix epoch.
   */
  expires: number;
}
