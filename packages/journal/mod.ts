/** The journal: records that are committed to the store in batches. */
export * from "./constants.ts";
export * from "./journal.ts";
export * from "./keys.ts";
export * from "./load.ts";
export * from "./snapshot_parts.ts";
export * from "./split_runs.ts";
export * from "./types.ts";
