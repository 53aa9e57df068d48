/** Shared types, outcomes, errors, hashing, clocks and random numbers. */
export * from "./clock.ts";
export * from "./constants.ts";
export * from "./errors.ts";
export * from "./hash.ts";
export * from "./outcome.ts";
export * from "./random.ts";
export * from "./text.ts";
export * from "./types.ts";
