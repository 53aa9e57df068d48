/** The store for all that must last: abstract class and types. */
export * from "./key_value_store.ts";
export * from "./metered_store.ts";
export * from "./types.ts";
