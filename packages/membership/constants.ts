/** Number of shards that a failure domain's endpoints are spread over. */
export const SHARDS_PER_DOMAIN = 64;

/**
 * Margin for rebalancing, in endpoints. An entry at least this far below its
 * fair share may receive shards, and no rebalancing leaves an owner further
 * below its own fair share.
 */
export const REBALANCE_SLACK = 1;

/**
 * How long a VM that was never listed may be missing from the VM list before it
 * counts as gone, in milliseconds.
 */
export const NEW_VM_GRACE_MS = 30_000;
