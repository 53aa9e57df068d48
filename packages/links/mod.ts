/** JSON-RPC 2.0 between entries over persistent TCP connections. */
export * from "./constants.ts";
export { LinkBusyError } from "./errors.ts";
export * from "./link.ts";
export * from "./link_server.ts";
export * from "./types.ts";
