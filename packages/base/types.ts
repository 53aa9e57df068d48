/** Says whether a request may have run. */
export enum Verdict {
  /** A promise: no part of the request ran, and none will. */
  NotRun = "not_run",
  Ran = "ran",
  MayHaveRun = "may_have_run",
}

/** Why a request ended the way it did. */
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

/** The shapes of work that a queue can carry. */
export enum WorkKind {
  Service = "service",
  Batch = "batch",
  Gang = "gang",
}

/** How the bytes of an answer are carried in a JSON string. */
export enum BodyEncoding {
  Utf8 = "utf8",
  Base64 = "base64",
}

/** Resources that one task occupies. */
export interface Size {
  cores: number;
  memoryMb: number;
  accelerators: number;
}

/** One checked request. Times are milliseconds since the Unix epoch. */
export interface Work {
  id: string;
  team: string;
  queue: string;
  kind: WorkKind;
  /** Number of tasks; above one only for a gang. */
  tasks: number;
  size: Size;
  deadline: number;
  idempotent: boolean;
  urgent: boolean;
  /** Client key for safe retries, and the digest of the body it came with. */
  idempotencyKey?: string;
  fingerprint: string;
  /** JSON text handed to the endpoint unchanged. */
  payload: string;
}

/** One whole answer of an endpoint. */
export interface Answer {
  task: string;
  endpoint: string;
  status: number;
  contentType: string;
  encoding: BodyEncoding;
  body: string;
}

/** How a request or one of its attempts ended. */
export interface Outcome {
  verdict: Verdict;
  cause: Cause;
  detail: string;
  answers: Answer[];
  /** When it is worth asking again, in milliseconds from the answer. */
  retryAfterMs?: number;
}
