/** URL path of JSON-RPC calls between entries. */
export const RPC_PATH = "/rpc";

/** JSON-RPC error code: the call was addressed to another incarnation. */
export const WRONG_INCARNATION_CODE = -32_001;

/** JSON-RPC error code: the peer is not the home of the idempotency key. */
export const NOT_OWNER_CODE = -32_002;

/** Timeout of short calls between entries, in milliseconds. */
export const PEER_TIMEOUT_MS = 1_500;

/** Timeout of connecting to a peer, in milliseconds. */
export const PEER_CONNECT_TIMEOUT_MS = 1_000;

/** Largest request body of a call between entries, in bytes. */
export const MAX_RPC_BYTES = 16 * 1024 * 1024;
