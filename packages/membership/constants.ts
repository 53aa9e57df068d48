/** Shards that the endpoints of one failure domain are spread over. */
export const SHARDS_PER_DOMAIN = 64;

/** Endpoints by which an owner may exceed its part before it releases some. */
export const REBALANCE_SLACK = 1;

/** How long a VM may be missing from the list right after it joined, in ms. */
export const NEW_VM_GRACE_MS = 30_000;
