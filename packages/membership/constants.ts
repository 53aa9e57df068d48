/** Number of shards that a failure domain's endpoints are spread over. */
export const SHARDS_PER_DOMAIN = 64;

/**
 * Number of endpoints by which an owner may differ from its fair share before
 * shards are handed over.
 */
export const REBALANCE_SLACK = 1;

/**
 * How long a VM that was never listed may be missing from the VM list before it
 * counts as gone, in milliseconds.
 */
export const NEW_VM_GRACE_MS = 30_000;
