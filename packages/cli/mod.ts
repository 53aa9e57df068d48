/** Command line for operators and callers. */
export { formatTable } from "./format_table.ts";
export * from "./run.ts";
export * from "./registry.ts";
export * from "./types.ts";
