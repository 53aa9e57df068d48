/**
 * Planning of upkeep waves: planned maintenance of the VMs that run endpoints.
 * Pure functions without I/O.
 */
export * from "./plan.ts";
export * from "./types.ts";
