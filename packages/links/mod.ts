/** JSON-RPC 2.0 between entries over one lasting TCP connection each. */
export * from "./constants.ts";
export * from "./link.ts";
export * from "./link_server.ts";
export * from "./types.ts";
