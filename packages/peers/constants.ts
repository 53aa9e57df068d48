/** Path of the JSON-RPC endpoint on the peers' address. */
export const RPC_PATH = "/rpc";

/** Code of the error for a call meant for another incarnation. */
export const WRONG_INCARNATION_CODE = -32_001;

/** Code of the error for a call that the peer's state does not allow. */
export const NOT_OWNER_CODE = -32_002;

/** Bound on short calls between entries, in milliseconds. */
export const PEER_TIMEOUT_MS = 1_500;

/** Bound on connecting to a peer, in milliseconds. */
export const PEER_CONNECT_TIMEOUT_MS = 1_000;

/** Largest body of a call between entries, in bytes. */
export const MAX_RPC_BYTES = 16 * 1024 * 1024;
