/**
 * Shortest time between two commits, in milliseconds. 50 commits per second are
 * an eighth of the store's writes and add 10 ms to an answer on average.
 */
export const COMMIT_INTERVAL_MS = 20;

/**
 * Maximum number of commits in flight. A slow commit takes up to 240 ms; 12
 * commits begin in that time.
 */
export const MAX_COMMITS_IN_FLIGHT = 12;

/**
 * Largest difference between the numbers of two stored segments in a row: of the commits
 * that were in flight at a take-over, only the last may have been applied.
 */
export const MAX_SEGMENT_STEP = MAX_COMMITS_IN_FLIGHT;

/** Initial backoff before a failed commit is sent again, in milliseconds. */
export const FIRST_RETRY_MS = 100;

/**
 * Largest size of the records of one commit in UTF-8, in bytes: under half of a store's
 * smallest limit on a value. A record that is larger is committed by itself.
 */
export const MAX_COMMIT_BYTES = 400_000;

/**
 * Number of segments between two snapshots. One page of a range read can hold
 * that many segments.
 */
export const SEGMENTS_PER_SNAPSHOT = 250;

/**
 * Maximum number of obsolete keys deleted with one commit; a transaction holds
 * at most 32 entries.
 */
export const MAX_DELETES_PER_COMMIT = 24;

/**
 * Largest size of one part of a snapshot in UTF-8, in bytes: under half of a store's
 * smallest limit on a value.
 */
export const SNAPSHOT_PART_BYTES = 500_000;

/** Prefix of the keys of segments; each commit writes one segment. */
export const LOG_PREFIX = "baobabhead/log/";

/** Prefix of the keys of snapshot parts. */
export const SNAPSHOT_PREFIX = "baobabhead/snapshot/";

/**
 * Maximum number of runs in one record. A run takes about 100 bytes with the longest
 * id of a job, so that a record stays under `MAX_COMMIT_BYTES`.
 */
export const MAX_RUNS_PER_RECORD = 2_000;
