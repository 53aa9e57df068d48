/** Header in which an endpoint repeats the id of the task it answers. */
export const TASK_ID_HEADER = "task-id";

/** Header by which an endpoint says whether it started the task. */
export const TASK_STARTED_HEADER = "task-started";

/** Header of the answer for a task that was stopped on request. */
export const TASK_STOPPED_HEADER = "task-stopped";

/** Bound on connecting to an endpoint, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Bound on calls that only list or stop, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2_000;

/** Largest answer that is accepted from an endpoint, in bytes. */
export const MAX_ANSWER_BYTES = 1024 * 1024;
