import { MINUTE_MS, SECOND_MS } from "../base/mod.ts";

/**
 * How long a key can be used after its creation, in milliseconds. The outcome
 * of its request is kept at least that long.
 */
export const KEY_RETENTION_MS = 15 * MINUTE_MS;

/**
 * Maximum clock skew tolerated between a caller and an entry, in milliseconds.
 */
export const CLOCK_SKEW_MS = 2 * SECOND_MS;
