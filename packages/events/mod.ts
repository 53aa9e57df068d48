/** Numbered log events and their catalogue. */
export * from "./catalogue.ts";
export * from "./explain.ts";
export * from "./log.ts";
export * from "./types.ts";
