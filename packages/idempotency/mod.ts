/** Idempotency keys: form, home, remembered outcomes. */
export * from "./constants.ts";
export * from "./key.ts";
export * from "./key_home.ts";
export * from "./types.ts";
