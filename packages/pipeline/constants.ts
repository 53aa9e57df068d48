/** Default deadline of work, counted from its arrival, in milliseconds. */
export const DEFAULT_TIMEOUT_MS = 60_000;

/** Latest deadline of work, counted from its arrival, in milliseconds. */
export const MAX_TIMEOUT_MS = 24 * 60 * 60 * 1_000;

/** Largest number of tasks of one gang. */
export const MAX_GANG_TASKS = 10_000;

/** Most cores of one task, regardless of the size of the endpoints. */
export const MAX_TASK_CORES = 4_096;

/** Most memory of one task, regardless of the endpoints, in megabytes. */
export const MAX_TASK_MEMORY_MB = 64 * 1024 * 1024;

/** Most accelerators of one task, regardless of the endpoints. */
export const MAX_TASK_ACCELERATORS = 1_024;

/** Retry delay of refusals that are expected to end soon, in milliseconds. */
export const SHORT_RETRY_MS = 1_000;
