/** Settings of a daemon, read from an INI file: schemas and defaults. */
export * from "./constants.ts";
export * from "./scheduler_settings.ts";
export * from "./settings.ts";
export * from "./types.ts";
