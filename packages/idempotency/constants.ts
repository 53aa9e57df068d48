import { MINUTE_MS, SECOND_MS } from "../base/mod.ts";

/** How long the outcome for a key is kept after the key's creation. */
export const KEY_RETENTION_MS = 15 * MINUTE_MS;

/** Maximum clock skew tolerated between a caller and an entry. */
export const CLOCK_SKEW_MS = 2 * SECOND_MS;
