/** Maximum number of steps of a job; bounds the memory that a request takes. */
export const MAX_STEPS = 64;

/**
 * Maximum number of tasks of a step. A step with more tasks than any fleet in
 * use can run is rejected as a mistake.
 */
export const MAX_TASKS_PER_STEP = 10_000;

/** Maximum size of a payload in UTF-8, in bytes; the caller API promises it. */
export const MAX_PAYLOAD_BYTES = 4_000;

/** Maximum number of occurrences of a job. */
export const MAX_OCCURRENCES = 10_000;

/**
 * Ids that a job may have. Names of tasks are an id and numbers joined by dots, and
 * records of the journal repeat them.
 */
export const JOB_ID = /^[\w-]{1,64}$/;
