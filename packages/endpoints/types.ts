import type { Answer, Size, WorkKind } from "../base/mod.ts";

/** Labels that a task carries, so that any owner can account for it. */
export interface TaskLabels {
  team: string;
  /** Incarnation of the entry that started the task. */
  starter: string;
  queue: string;
}

/** A task to be started on an endpoint. */
export interface TaskStart {
  id: string;
  labels: TaskLabels;
  kind: WorkKind;
  size: Size;
  /** The task ends unless its lease is renewed within this time. */
  leaseMs: number;
  /** How long the whole answer may take, in milliseconds. */
  timeoutMs: number;
  payload: string;
}

/** How an attempt to start a task ended. */
export enum TaskResultKind {
  /** The endpoint certainly did not start the task. */
  NotStarted = "not_started",
  /** A whole answer that belongs to this task. */
  Answered = "answered",
  /** A service that has started and goes on. */
  Running = "running",
  /** The task was stopped on request. */
  Stopped = "stopped",
  /** Anything else: the task may have run and may still be running. */
  Unknown = "unknown",
}

/** Result of starting a task. */
export type TaskResult =
  | { kind: TaskResultKind.NotStarted; detail: string; reachable: boolean }
  | { kind: TaskResultKind.Answered; answer: Answer }
  | { kind: TaskResultKind.Running; answer: Answer }
  | { kind: TaskResultKind.Stopped; detail: string }
  | { kind: TaskResultKind.Unknown; detail: string };

/** One running task, as its endpoint lists it. */
export interface ListedTask {
  id: string;
  labels: TaskLabels;
  kind: WorkKind;
  size: Size;
}

/** What an endpoint reports when its task leases are renewed. */
export interface EndpointListing {
  tasks: ListedTask[];
  /** True when the endpoint itself says that it is leaving. */
  leaving: boolean;
  /** Measured use of resources, with a lag. */
  usage: Size;
}
