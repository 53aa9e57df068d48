import type { Answer, Size, WorkKind } from "../base/mod.ts";

/**
 * Labels of a task. The endpoint returns them in its listings, so that a later
 * owner of the endpoint can account for the task.
 */
export interface TaskLabels {
  team: string;
  /** Incarnation of the entry that started the task. */
  starter: string;
  queue: string;
}

/** Request to start a task on an endpoint. */
export interface TaskStart {
  id: string;
  labels: TaskLabels;
  kind: WorkKind;
  size: Size;
  /** Milliseconds after which the task ends unless its lease is renewed. */
  leaseMs: number;
  /** Time until the complete answer must have arrived, in milliseconds. */
  timeoutMs: number;
  payload: string;
}

/** Kinds of results of a request to start a task. */
export enum TaskResultKind {
  /** The task was definitely not started. */
  NotStarted = "not_started",
  /** A complete answer with the id of this task arrived. */
  Answered = "answered",
  /** A service task has started and is still running. */
  Running = "running",
  /** The task was stopped on request. */
  Stopped = "stopped",
  /** Any other failure: the task may have run and may still be running. */
  Unknown = "unknown",
}

/**
 * Result of a request to start a task. `reachable` is false when no connection
 * to the endpoint could be opened.
 */
export type TaskResult =
  | { kind: TaskResultKind.NotStarted; detail: string; reachable: boolean }
  | { kind: TaskResultKind.Answered; answer: Answer }
  | { kind: TaskResultKind.Running; answer: Answer }
  | { kind: TaskResultKind.Stopped; detail: string }
  | { kind: TaskResultKind.Unknown; detail: string };

/** A running task in an endpoint's listing. */
export interface ListedTask {
  id: string;
  labels: TaskLabels;
  kind: WorkKind;
  size: Size;
}

/** An endpoint's answer to a renewal of its task leases. */
export interface EndpointListing {
  tasks: ListedTask[];
  /** True when the endpoint is leaving; it gets no new tasks. */
  leaving: boolean;
  /** Measured resource usage; lags behind the actual usage. */
  usage: Size;
}
