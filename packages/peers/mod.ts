/** Calls between entries: JSON-RPC 2.0 over HTTP. */
export * from "./constants.ts";
export * from "./errors.ts";
export * from "./peer_client.ts";
export * from "./rpc_peer_client.ts";
export * from "./rpc_peer_server.ts";
export * from "./types.ts";
