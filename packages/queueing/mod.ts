/** Fair queueing of attempts, and predicted waiting times. */
export * from "./constants.ts";
export * from "./fair_queue.ts";
export * from "./service_times.ts";
export * from "./types.ts";
