/** Jobs: specification, validation, resource demands and task names. */
export * from "./check.ts";
export * from "./constants.ts";
export * from "./demand.ts";
export * from "./names.ts";
export * from "./types.ts";
