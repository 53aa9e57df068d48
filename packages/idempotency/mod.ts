/** Idempotency keys: their format, their home and the stored outcomes. */
export * from "./constants.ts";
export * from "./key.ts";
export * from "./key_home.ts";
export * from "./types.ts";
