/** Callers' connections: what they may make a process hold and do. */
export * from "./connection_guard.ts";
export * from "./constants.ts";
export * from "./descriptor_limit.ts";
export * from "./guarded_server.ts";
export * from "./types.ts";
