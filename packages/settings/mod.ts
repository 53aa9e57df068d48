/** Settings of a daemon: INI file, schema, defaults. */
export * from "./constants.ts";
export * from "./scheduler_settings.ts";
export * from "./settings.ts";
export * from "./types.ts";
