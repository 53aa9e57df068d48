/** Settings of a daemon: INI file, schema, defaults. */
export * from "./constants.ts";
export * from "./settings.ts";
export * from "./types.ts";
