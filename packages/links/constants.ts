/** Bound on connecting to another entry; a hundred times the usual way. */
export const LINK_CONNECT_MS = 600;

/** Time between heartbeats on a link, in milliseconds. */
export const LINK_HEARTBEAT_MS = 200;

/** A link without an answer to a heartbeat for this long is closed. */
export const LINK_SILENCE_MS = 700;

/** Longest line, in characters: far above the largest job. */
export const MAX_LINE_LENGTH = 4 * 1024 * 1024;

/** An entry that fell silent longer ago is taken as gone for good, in ms. */
export const SILENT_MEMORY_MS = 10_000;
