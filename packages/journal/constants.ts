/**
 * Least time between two commits, in milliseconds. 50 commits a second are an
 * eighth of the store's writes, and add 10 ms to an answer on average.
 */
export const COMMIT_INTERVAL_MS = 20;

/** Commits without an answer yet; a slow store takes up to 240 ms for one. */
export const MAX_COMMITS_IN_FLIGHT = 12;

/** First pause before a commit without an answer is sent again. */
export const RETRY_MS = 100;

/** Most text of one commit: half of the store's smallest value bound. */
export const MAX_COMMIT_LENGTH = 400_000;

/** Segments after which a snapshot is written; one page of a range read. */
export const SEGMENTS_PER_SNAPSHOT = 250;

/** Old segments removed with one commit; 32 entries fit a transaction. */
export const DELETES_PER_COMMIT = 24;

/** Characters of one part of a snapshot; base64 adds a third. */
export const SNAPSHOT_PART_LENGTH = 500_000;

/** Below this prefix each commit is one item. */
export const LOG_PREFIX = "baobabhead/log/";

/** Below this prefix lie the parts of snapshots. */
export const SNAPSHOT_PREFIX = "baobabhead/snapshot/";
