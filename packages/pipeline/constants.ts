/** Default deadline of work, counted from its arrival, in milliseconds. */
export const DEFAULT_TIMEOUT_MS = 60_000;

/** Latest deadline of work, counted from its arrival, in milliseconds. */
export const MAX_TIMEOUT_MS = 24 * 60 * 60 * 1_000;

/** Maximum number of tasks of one gang. */
export const MAX_GANG_TASKS = 10_000;

/** Maximum number of cores of one task, whatever the endpoints' size. */
export const MAX_TASK_CORES = 4_096;

/** Maximum memory of one task, whatever the endpoints' size, in megabytes. */
export const MAX_TASK_MEMORY_MB = 64 * 1024 * 1024;

/** Maximum number of accelerators of one task, whatever the endpoints' size. */
export const MAX_TASK_ACCELERATORS = 1_024;

/** Retry delay of refusals with a short-lived cause, in milliseconds. */
export const SHORT_RETRY_MS = 1_000;
