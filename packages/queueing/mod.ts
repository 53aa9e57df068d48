/** Fair queues and predicted waits. */
export * from "./constants.ts";
export * from "./fair_queue.ts";
export * from "./service_times.ts";
export * from "./types.ts";
