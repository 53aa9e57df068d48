/** Resources that one task occupies; whole numbers, so that sums are exact. */
export interface Demand {
  milliCores: number;
  memoryMb: number;
  accelerators: number;
}

/** One step of a job: tasks of the same shape. */
export interface StepSpec {
  tasks: number;
  demand: Demand;
  /** The caller's rough estimate of a task's run time, in milliseconds. */
  estimateMs: number;
  /** Numbers of the steps that must be done first. */
  after: number[];
  /** Tasks save their progress and can resume from it. */
  checkpointing: boolean;
  /** All tasks run together or not at all. */
  gang: boolean;
  /** Tasks are far slower when they run on more than one rack. */
  rackLocal: boolean;
  /** Label that the endpoint must have; empty: any endpoint. */
  requiredLabel: string;
  /** Rack where the data is; empty: none. */
  preferredRack: string;
  /** Most tasks of the step on one endpoint; 0: no limit. */
  maxPerEndpoint: number;
  /** Copies of a task may run at the same time. */
  speculative: boolean;
  /** Tasks run until the job is cancelled and are restarted when they end. */
  longRunning: boolean;
  /**
   * Bound on the tail of the response times of tasks that serve users of their
   * own, in milliseconds; 0: they serve nobody.
   */
  targetMs: number;
  /** Takes no cores of its own: its tasks work with what others leave. */
  isFilling: boolean;
  /**
   * Tasks of a step that lasts that may be away at the same time by orders of
   * the system; 0: not limited.
   */
  maxAway: number;
}

/** One job as its caller handed it in. */
export interface JobSpec {
  /** Chosen by the caller; unique, and so the key for safe retries. */
  id: string;
  /** Name of the organisation whose key came with it; empty: an open queue. */
  organisation: string;
  queue: QueueRules;
  /** Text handed to every task unchanged. */
  payload: string;
  steps: StepSpec[];
  /** How often the steps run; 0: once, at once. */
  occurrences: number;
  /** When the first occurrence is due, in milliseconds since the Unix epoch. */
  firstRunAt: number;
  intervalMs: number;
}

/** How long a call for advice takes and how long its tickets last. */
export interface AdviceRules {
  decideMs: number;
  perEndpointMs: number;
  validMs: number;
}

/** What operators set for one queue. */
export interface QueueRules {
  name: string;
  /** Service whose endpoints run the tasks. */
  service: string;
  /** 0 goes first. */
  priority: number;
  /** Failed runs of one task after which its job has failed. */
  attempts: number;
  /** Factor on the longest chain of run times that still counts as in time. */
  stretch: number;
  targetLatencyMs: number;
  /** Present when a policy names the endpoints that may run a step. */
  advice?: AdviceRules;
}

/** What a caller is told about its job. */
export enum JobState {
  Pending = "pending",
  Running = "running",
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
}

/** How a run of a task ended. */
export enum EndKind {
  Done = "done",
  /** By the fault of the task or its endpoint. */
  Failed = "failed",
  Stopped = "stopped",
  /** Its lease ran out. */
  Lapsed = "lapsed",
  /** Another task of its gang ended. */
  Broken = "broken",
  /** The rest of its gang did not start in time. */
  Alone = "alone",
}
