/** Team limits over the fleet, as grants whose sum never passes the limit. */
export * from "./constants.ts";
export * from "./plan.ts";
export * from "./types.ts";
