/**
 * Timeout for connecting to another entry, in milliseconds: about a hundred
 * times the usual network latency.
 */
export const LINK_CONNECT_TIMEOUT_MS = 600;

/** Time between heartbeats on a link, in milliseconds. */
export const LINK_HEARTBEAT_MS = 200;

/** Time without received data after which a link is closed, in milliseconds. */
export const LINK_TIMEOUT_MS = 700;

/** Code of the JSON-RPC error that says that a call had no effect for lack of room. */
export const BUSY_CODE = -32_001;

/** Maximum length of a line in characters; far above the largest job. */
export const MAX_LINE_LENGTH = 4 * 1024 * 1024;

/**
 * Time for which an entry whose link timed out counts as unresponsive, in ms.
 * An entry that has not reconnected by then is assumed to be gone for good.
 */
export const UNRESPONSIVE_RETENTION_MS = 10_000;
