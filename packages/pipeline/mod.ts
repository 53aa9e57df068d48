/** The pipeline that processes each request at the entry that receives it. */
export * from "./constants.ts";
export * from "./filter.ts";
export * from "./filters/8_answer.ts";
export * from "./pipeline.ts";
export * from "./types.ts";
