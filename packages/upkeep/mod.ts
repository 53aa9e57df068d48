/**
 * Planning of upkeep waves: planned maintenance of the VMs that run endpoints.
 * Pure functions without input or output.
 */
export * from "./plan.ts";
export * from "./types.ts";
