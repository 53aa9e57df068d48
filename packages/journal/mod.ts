/** The journal: records that are committed in groups to the store. */
export * from "./constants.ts";
export * from "./journal.ts";
export * from "./load.ts";
export * from "./types.ts";
