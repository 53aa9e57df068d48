/** Scheduling engine of one owner: queueing, limits, placement, outcomes. */
export * from "./constants.ts";
export * from "./endpoint_state.ts";
export * from "./engine.ts";
export * from "./ledger.ts";
export * from "./endpoints_with_free_slots.ts";
export * from "./placement.ts";
export * from "./state.ts";
export * from "./types.ts";
