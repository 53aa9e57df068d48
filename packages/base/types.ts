/** Whether a request ran, did not run, or may have run. */
export enum Verdict {
  /** Guarantees that no part of the request ran or will run. */
  NotRun = "not_run",
  Ran = "ran",
  MayHaveRun = "may_have_run",
}

/** Reason for the outcome of a request. */
export enum Cause {
  Completed = "completed",
  Started = "started",
  BadRequest = "bad_request",
  BodyTooLarge = "body_too_large",
  Unauthenticated = "unauthenticated",
  Forbidden = "forbidden",
  UnknownQueue = "unknown_queue",
  NotFound = "not_found",
  Impossible = "impossible",
  DeadlinePassed = "deadline_passed",
  DeadlineUnreachable = "deadline_unreachable",
  QueueFull = "queue_full",
  /** The entry has no room for another request. */
  EntryBusy = "entry_busy",
  Draining = "draining",
  NoEndpoint = "no_endpoint",
  NotReady = "not_ready",
  Cancelled = "cancelled",
  EndpointRefused = "endpoint_refused",
  EndpointLost = "endpoint_lost",
  EntryLost = "entry_lost",
  LateAttempt = "late_attempt",
  GangIncomplete = "gang_incomplete",
  DuplicateInProgress = "duplicate_in_progress",
  KeyReused = "key_reused",
  KeyHistoryUnknown = "key_history_unknown",
  WorkFails = "work_fails",
}

/** Kinds of work that a queue can accept. */
export enum WorkKind {
  Service = "service",
  Batch = "batch",
  Gang = "gang",
}

/** Encoding of an answer's body in a JSON string. */
export enum BodyEncoding {
  Utf8 = "utf8",
  Base64 = "base64",
}

/** Resources that a task requires or an endpoint has. */
export interface Size {
  cores: number;
  memoryMb: number;
  accelerators: number;
}

/** A validated request. Times are in milliseconds since the Unix epoch. */
export interface Work {
  id: string;
  team: string;
  queue: string;
  kind: WorkKind;
  /** Number of tasks; greater than 1 only for a gang. */
  tasks: number;
  size: Size;
  deadline: number;
  idempotent: boolean;
  /** Whether the work is started before work that is not urgent. */
  urgent: boolean;
  /** Key chosen by the caller; repeated requests with it run at most once. */
  idempotencyKey?: string;
  /** SHA-256 digest of the queue name and the request body. */
  fingerprint: string;
  /** JSON text that is sent to the endpoint unchanged. */
  payload: string;
}

/** A complete answer of an endpoint to one task. */
export interface Answer {
  task: string;
  endpoint: string;
  status: number;
  contentType: string;
  encoding: BodyEncoding;
  body: string;
}

/** Result of a request or of one of its attempts. */
export interface Outcome {
  verdict: Verdict;
  cause: Cause;
  detail: string;
  answers: Answer[];
  /** Advised delay before a retry, in milliseconds from the answer. */
  retryAfterMs?: number;
}
