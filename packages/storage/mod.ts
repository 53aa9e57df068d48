/** The store of all durable state: abstract class, metrics and types. */
export * from "./constants.ts";
export * from "./key_value_store.ts";
export * from "./list_all.ts";
export * from "./metered_store.ts";
export * from "./require_text.ts";
export * from "./types.ts";
