import type { EndpointEvent } from "../standins/endpoint_lifetime.ts";

/** What happened in a soak, apart from the runs of tasks on endpoints. */
export enum SoakEventKind {
  /** A caller made up a job and is about to submit it. */
  Job = "job",
  /** A caller's call has ended. */
  Call = "call",
  /** The store acknowledged a configuration. */
  Config = "config",
  /** An endpoint's capacity is another from now on. */
  Room = "room",
  /** A fault begins; `endsAt` is its end. */
  Fault = "fault",
  /** The last fault has ended. */
  Healed = "healed",
  /** After the last fault, the owner decided on a job from an entry. */
  Recovered = "recovered",
}

/** What a caller's call asks for. */
export enum CallKind {
  Submit = "submit",
  Find = "find",
  Cancel = "cancel",
}

/** One step of a job of the soak. */
export interface SoakStep {
  tasks: number;
  milliCores: number;
  memoryMb: number;
  after: number[];
  /** Duration of each task, in milliseconds. */
  runMs: number;
}

/** A job of the soak. */
export interface SoakJob {
  id: string;
  payload: string;
  steps: SoakStep[];
}

/** A caller's call and its outcome. */
export interface SoakCall {
  kind: SoakEventKind.Call;
  /** Unix milliseconds of the end of the call. */
  at: number;
  sentAt: number;
  call: CallKind;
  entry: number;
  job: string;
  key: string;
  /** HTTP status; 0: no complete answer. */
  status: number;
  /** State of the job in the answer, if any. */
  state: string;
  /** The answer is complete and readable. */
  isWhole: boolean;
  /** Why there is no answer, or the reason of a refusal. */
  detail: string;
  /** The caller ended the wait. */
  hasTimedOut: boolean;
  /** Nothing listened at the entry's address. */
  isRefused: boolean;
}

/** A fault of the soak while it lasts. */
export interface SoakFaultEvent {
  kind: SoakEventKind.Fault;
  at: number;
  endsAt: number;
  fault: string;
  /** Entry that a planned stop ends; -1 for other faults. */
  stoppedEntry: number;
}

/** The capacity of an endpoint from `at` on. */
export interface SoakRoom {
  kind: SoakEventKind.Room;
  at: number;
  endpoint: string;
  milliCores: number;
  memoryMb: number;
}

/** One event of the history that the checker reads. Times: Unix milliseconds. */
export type SoakEvent =
  | EndpointEvent
  | SoakCall
  | SoakFaultEvent
  | SoakRoom
  | { kind: SoakEventKind.Job; at: number; job: SoakJob }
  | { kind: SoakEventKind.Config; at: number; keys: string[] }
  | { kind: SoakEventKind.Healed; at: number }
  | { kind: SoakEventKind.Recovered; at: number; entry: number };

/** Promises that the checker checks. */
export enum Rule {
  AtOnce = "two runs of a task at once",
  AfterEnd = "a start after an acknowledged end",
  Capacity = "more than an endpoint's capacity",
  Crashes = "a task that crashes endpoints is started too often",
  Order = "a start before an earlier step is done",
  Unasked = "a start that no caller asked for",
  Cancelled = "a start after the job was cancelled",
  NotRun = "a refused job has started",
  Unknown = "an accepted job is unknown",
  State = "a job's state is wrong",
  Waiting = "a job waits although there is room",
  Unfinished = "an accepted job is unfinished",
  Answer = "an answer is not whole",
  PlannedStop = "an answer was lost around a planned stop",
  Key = "a key is accepted or refused wrongly",
  Recovery = "recovery took too long",
}

/** A broken promise. */
export interface Violation {
  rule: Rule;
  /** Unix milliseconds. */
  at: number;
  /** Task, job, or entry. */
  subject: string;
  detail: string;
}
