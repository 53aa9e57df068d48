/** Waves of upkeep of the endpoints' VMs: pure decisions. */
export * from "./plan.ts";
export * from "./types.ts";
