/** One entry's view of the store records that all entries share. */
export * from "./constants.ts";
export * from "./control_state.ts";
export * from "./types.ts";
