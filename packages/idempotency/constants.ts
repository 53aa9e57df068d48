import { MINUTE_MS, SECOND_MS } from "../base/mod.ts";

/** How long the outcome for a key is kept after the key was made. */
export const KEY_RETENTION_MS = 15 * MINUTE_MS;

/** Largest difference allowed between a caller's clock and an entry's. */
export const CLOCK_SKEW_MS = 2 * SECOND_MS;
