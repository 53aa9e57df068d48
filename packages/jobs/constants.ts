/** Most steps of one job; bounds the memory that one request can claim. */
export const MAX_STEPS = 64;

/** Most tasks of one step; a step wider than any fleet in use is a mistake. */
export const MAX_TASKS_PER_STEP = 10_000;

/** Most characters of a payload, as the callers' interface promises. */
export const MAX_PAYLOAD_LENGTH = 4_000;

/** Most occurrences of one job. */
export const MAX_OCCURRENCES = 10_000;
