/**
 * Amounts of resources: the demand of a task or the capacity of an endpoint.
 * Integers, so that sums are exact.
 */
export interface Demand {
  milliCores: number;
  memoryMb: number;
  accelerators: number;
}

/** One step of a job: a number of tasks with the same requirements. */
export interface StepSpec {
  tasks: number;
  demand: Demand;
  /** The caller's rough estimate of a task's run time, in milliseconds. */
  estimateMs: number;
  /** Indexes of the steps that must be completed first. */
  after: number[];
  /** Tasks write checkpoints and can resume from them. */
  checkpointing: boolean;
  /** All tasks run at the same time or not at all. */
  gang: boolean;
  /**
   * A gang is placed within one rack, because its tasks are much slower across
   * several racks.
   */
  rackLocal: boolean;
  /** Label that an endpoint must have; empty: any endpoint. */
  requiredLabel: string;
  /** Rack that holds the data and is preferred; empty: none. */
  preferredRack: string;
  /** Maximum number of the step's tasks per endpoint; 0: no limit. */
  maxPerEndpoint: number;
  /** Copies of a task may run at the same time. */
  speculative: boolean;
  /** Tasks run until the job is cancelled and are restarted when they end. */
  longRunning: boolean;
  /**
   * Target tail latency of tasks that serve requests, in milliseconds; 0: they
   * serve no requests.
   */
  targetMs: number;
  /**
   * Best effort: tasks reserve no cores and use those that other tasks leave
   * idle.
   */
  isFilling: boolean;
  /**
   * Disruption budget of a long-running step: the scheduler stops one of its
   * tasks only while fewer than this many others are interrupted; 0: no limit.
   */
  maxAway: number;
}

/** A job as submitted by its caller. */
export interface JobSpec {
  /** Unique id chosen by the caller; makes retries idempotent. */
  id: string;
  /** Organisation whose key the caller sent; empty for an open queue. */
  organisation: string;
  queue: QueueRules;
  /** Text that is passed to every task unchanged. */
  payload: string;
  steps: StepSpec[];
  /** How many times the steps run; 0: once, immediately. */
  occurrences: number;
  /** When the first occurrence is due, in milliseconds since the Unix epoch. */
  firstRunAt: number;
  /** Time between the due times of two occurrences, in milliseconds. */
  intervalMs: number;
}

/** Duration of calls to the policy service, and validity of its tickets. */
export interface AdviceRules {
  /** Fixed part of a call's duration, in milliseconds. */
  decideMs: number;
  /** Additional duration for each endpoint asked about, in milliseconds. */
  perEndpointMs: number;
  /** How long a ticket stays valid, in milliseconds. */
  validMs: number;
}

/** Rules of a queue, set by operators. */
export interface QueueRules {
  name: string;
  /** Name of the service whose endpoints run the tasks. */
  service: string;
  /** Lower numbers go first; 0 is the highest priority. */
  priority: number;
  /**
   * Number of failed runs of one task, or of one gang, after which its job
   * fails; 0: no limit.
   */
  attempts: number;
  /**
   * A job is in time if it takes at most this factor times its critical path
   * (the longest chain of estimated run times), plus `targetLatencyMs`.
   */
  stretch: number;
  targetLatencyMs: number;
  /** Present when the policy service decides which endpoints may run a step. */
  advice?: AdviceRules;
}

/** State of a job as reported to its caller. */
export enum JobState {
  Pending = "pending",
  Running = "running",
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
}

/** Reasons why a run of a task ended. */
export enum EndKind {
  Done = "done",
  /** The task or its endpoint failed. */
  Failed = "failed",
  Stopped = "stopped",
  /** The run's lease expired. */
  LeaseExpired = "lapsed",
  /** The run was ended because another task of its gang ended. */
  GangBroken = "broken",
  /** The rest of the gang did not start in time. */
  GangIncomplete = "alone",
}
