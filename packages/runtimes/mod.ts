/** Run times of tasks and speeds of endpoints. Pure, without I/O. */
export * from "./constants.ts";
export * from "./learned_run_times.ts";
export * from "./run_progress.ts";
export * from "./run_times.ts";
export * from "./stated_run_times.ts";
export * from "./types.ts";
