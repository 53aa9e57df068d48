import { MEBIBYTE } from "../base/mod.ts";

/**
 * Number of pages among which the items of a configuration are distributed.
 * All pages and the head fit into one store transaction, which is limited to
 * 128 operations.
 */
export const CONFIG_PAGES = 120;

/** Default maximum number of waiting attempts per queue on one entry. */
export const DEFAULT_MAX_QUEUED = 2_000;

/** Default maximum size of a request body, in bytes. */
export const DEFAULT_MAX_BODY_BYTES = 256 * 1024;

/** Upper limit of a queue's `max_body_bytes` setting, in bytes. */
export const MAX_BODY_BYTES = MEBIBYTE;

/** Length of the random secret in a caller's key, in bytes. */
export const KEY_SECRET_BYTES = 24;

/** Prefix of every caller's key. */
export const KEY_PREFIX = "bbh";
