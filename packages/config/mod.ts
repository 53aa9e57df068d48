/** Declarative configuration: INI files, validation, versions and keys. */
export * from "./check.ts";
export * from "./constants.ts";
export * from "./ini_document.ts";
export * from "./items.ts";
export * from "./keys.ts";
export * from "./restrict.ts";
export * from "./schema.ts";
export * from "./state.ts";
export * from "./types.ts";
