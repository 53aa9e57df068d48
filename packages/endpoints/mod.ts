/** Client that starts, lists and stops tasks on endpoints. */
export * from "./constants.ts";
export * from "./endpoint_client.ts";
export * from "./http_endpoint_client.ts";
export * from "./types.ts";
