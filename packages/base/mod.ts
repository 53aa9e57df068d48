/** Types, verdicts, errors, clock and randomness that every package uses. */
export * from "./clock.ts";
export * from "./constants.ts";
export * from "./errors.ts";
export * from "./hash.ts";
export * from "./outcome.ts";
export * from "./random.ts";
export * from "./types.ts";
