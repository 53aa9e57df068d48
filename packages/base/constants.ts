/** Milliseconds in one second. */
export const SECOND_MS = 1_000;

/** Milliseconds in one minute. */
export const MINUTE_MS = 60 * SECOND_MS;

/** Bytes in one mebibyte. */
export const MEBIBYTE = 1024 * 1024;

/** Shortest retry delay that a caller is advised to wait, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 500;

/** Longest retry delay that a caller is advised to wait, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 30 * SECOND_MS;
