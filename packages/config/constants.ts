import { MEBIBYTE } from "../base/mod.ts";

/**
 * Number of pages that a configuration's items are spread over. All of them and
 * the head fit into one transaction of the store, which takes 128 operations.
 */
export const CONFIG_PAGES = 120;

/** Default bound on attempts waiting per queue on one entry. */
export const DEFAULT_MAX_QUEUED = 2_000;

/** Default for the largest size of a request body, in bytes. */
export const DEFAULT_MAX_BODY_BYTES = 256 * 1024;

/** Largest size of a request body that a queue may allow, in bytes. */
export const MAX_BODY_BYTES = MEBIBYTE;

/** Bytes of randomness in a caller's key. */
export const KEY_SECRET_BYTES = 24;

/** Prefix that marks a caller's key. */
export const KEY_PREFIX = "bbh";
