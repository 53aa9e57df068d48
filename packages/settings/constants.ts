/** Default bound on the delay of the platform's VM list, in milliseconds. */
export const DEFAULT_VM_LIST_LAG_MS = 5_000;

/** Default bound on one call to the platform, in milliseconds. */
export const DEFAULT_PLATFORM_TIMEOUT_MS = 2_000;

/** Default interval between heartbeats inside a failure domain. */
export const DEFAULT_HEARTBEAT_MS = 1_000;

/** Default interval between polls of an endpoint, in milliseconds. */
export const DEFAULT_POLL_MS = 3_000;

/** Default length of a task lease, in milliseconds. */
export const DEFAULT_TASK_LEASE_MS = 30_000;
