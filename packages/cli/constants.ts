/** Default URL of the entry that commands call. */
export const DEFAULT_ENTRY = "http://127.0.0.1:8080";

/** Environment variable with the URL of the entry. */
export const ENTRY_VARIABLE = "BAOBABHEAD_ENTRY";

/** Environment variable with the caller's or operator's key. */
export const KEY_VARIABLE = "BAOBABHEAD_KEY";

/** Default timeout of a call to an entry, in milliseconds. */
export const CALL_TIMEOUT_MS = 15_000;
