/** Membership of entries and ownership of endpoints in a failure domain. */
export * from "./constants.ts";
export * from "./plan.ts";
export * from "./shards.ts";
export * from "./types.ts";
export * from "./vm_tracker.ts";
