/** Numbered log events and their catalogue. */
export * from "./rate_limited_log.ts";
export * from "./catalogue.ts";
export * from "./explain.ts";
export * from "./log.ts";
export * from "./trace.ts";
export * from "./types.ts";
