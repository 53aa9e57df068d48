import type { Outcome, Size, WorkKind } from "../base/mod.ts";
import type {
  EndpointListing,
  TaskLabels,
  TaskResult,
} from "../endpoints/mod.ts";
import type { TaskCounts } from "../membership/mod.ts";
import type { QueueEntry } from "../queueing/mod.ts";

/** One try to run one task of a request on one owner. */
export interface Attempt {
  /** Unique; also the id of the task on the endpoint. */
  id: string;
  work: string;
  team: string;
  queue: string;
  kind: WorkKind;
  size: Size;
  /** Milliseconds since the Unix epoch. */
  deadline: number;
  urgent: boolean;
  payload: string;
  maxQueued: number;
  /** Reservation that the attempt uses. */
  hold?: string;
}

/** An endpoint as its owner sees it. */
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

/** What happened to an engine. */
export enum EngineEventType {
  Submit = "submit",
  Cancel = "cancel",
  Settle = "settle",
  Reserve = "reserve",
  ReleaseHold = "release_hold",
  TaskEnded = "task_ended",
  Listed = "listed",
  ListFailed = "list_failed",
  EndpointsChanged = "endpoints_changed",
  GrantsChanged = "grants_changed",
  SharesChanged = "shares_changed",
  Drain = "drain",
  Tick = "tick",
}

/** Events that an engine decides on. */
export type EngineEvent =
  | { type: EngineEventType.Submit; attempt: Attempt }
  | { type: EngineEventType.Cancel; attempt: string; expires: number }
  /** Asks how an attempt ended and refuses it from now on if unknown. */
  | { type: EngineEventType.Settle; attempt: string; expires: number }
  | { type: EngineEventType.Reserve; request: HoldRequest }
  | { type: EngineEventType.ReleaseHold; hold: string }
  | { type: EngineEventType.TaskEnded; attempt: string; result: TaskResult }
  | {
    type: EngineEventType.Listed;
    endpoint: string;
    listing: EndpointListing;
    sentAt: number;
  }
  | { type: EngineEventType.ListFailed; endpoint: string }
  | {
    type: EngineEventType.EndpointsChanged;
    endpoints: EndpointSpec[];
    owned: ReadonlySet<number>;
    quiescing: ReadonlySet<number>;
    /** Own tasks on shards that were handed over, by team. */
    leftBehind: TaskCounts;
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

/** A request for room for several tasks of one gang. */
export interface HoldRequest {
  hold: string;
  team: string;
  tasks: number;
  size: Size;
  /** When the hold ends by itself, in milliseconds since the Unix epoch. */
  expires: number;
}

/** What the driver of an engine has to do. */
export enum DecisionType {
  Start = "start",
  Stop = "stop",
  Finish = "finish",
  Held = "held",
  EndpointStatus = "endpoint_status",
}

/** Decisions of an engine, in the order in which they are carried out. */
export type Decision =
  | {
    type: DecisionType.Start;
    attempt: Attempt;
    endpoint: EndpointSpec;
    labels: TaskLabels;
    /** How long the attempt was in the queue. */
    waitedMs: number;
  }
  | { type: DecisionType.Stop; endpoint: EndpointSpec; task: string }
  | { type: DecisionType.Finish; attempt: string; outcome: Outcome }
  | { type: DecisionType.Held; hold: string; tasks: number }
  | {
    type: DecisionType.EndpointStatus;
    endpoint: string;
    status: EndpointStatus;
  };

/** Whether an endpoint takes work, and if not, why. */
export enum EndpointStatus {
  Recovering = "recovering",
  Serving = "serving",
  Quiescing = "quiescing",
  Leaving = "leaving",
  Unreachable = "unreachable",
  Ejected = "ejected",
  Gone = "gone",
}

/** A waiting attempt. */
export interface WaitingAttempt extends QueueEntry {
  attempt: Attempt;
  enqueuedAt: number;
  /** Endpoints that did not start it. */
  refusals: number;
}

/** Stages of an attempt on its owner. */
export enum AttemptStage {
  Waiting = "waiting",
  Running = "running",
  Ended = "ended",
}

/** What an owner remembers of an attempt. */
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
  /** When an ended attempt may be forgotten. */
  expires: number;
}
