/** Evacuation of failure domains: pure decisions, without I/O. */
export * from "./moves.ts";
export * from "./requests.ts";
export * from "./types.ts";
