/** Team limits for the fleet, as grants whose sum never exceeds the limit. */
export * from "./constants.ts";
export * from "./plan.ts";
export * from "./types.ts";
