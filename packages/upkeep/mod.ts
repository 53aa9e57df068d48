/**
 * Planning of upkeep waves: rolling maintenance of the VMs that run endpoints.
 * Pure functions without I/O.
 */
export * from "./plan.ts";
export * from "./types.ts";
