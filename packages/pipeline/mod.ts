/** The path of a request through one entry. */
export * from "./constants.ts";
export * from "./filter.ts";
export * from "./filters/8_answer.ts";
export * from "./pipeline.ts";
export * from "./types.ts";
