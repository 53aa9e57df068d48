/** Request and response header with the id of the task. */
export const TASK_ID_HEADER = "task-id";

/** Response header: `false` when the endpoint did not start the task. */
export const TASK_STARTED_HEADER = "task-started";

/** Response header: `true` when the task was stopped on request. */
export const TASK_STOPPED_HEADER = "task-stopped";

/** Timeout for connecting to an endpoint, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Timeout of calls that renew leases or stop a task, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2_000;

/** Maximum size of the answer to a task, in bytes. */
export const MAX_ANSWER_BYTES = 1024 * 1024;
