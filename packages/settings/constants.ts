import {
  type ConnectionLimits,
  DEFAULT_CONNECTION_LIMITS,
} from "../connections/mod.ts";

/**
 * Default limits of callers' connections for direct work: requests wait here until their
 * work has ended.
 */
export const DEFAULT_DIRECT_LIMITS: ConnectionLimits = {
  ...DEFAULT_CONNECTION_LIMITS,
  connections: 4_000,
  requests: 4_000,
};

/** Default maximum lag of the platform's VM list, in milliseconds. */
export const DEFAULT_VM_LIST_LAG_MS = 5_000;

/** Default timeout of one call to the platform, in milliseconds. */
export const DEFAULT_PLATFORM_TIMEOUT_MS = 2_000;

/** Default heartbeat interval within a failure domain, in milliseconds. */
export const DEFAULT_HEARTBEAT_MS = 1_000;

/** Default poll interval of an endpoint, in milliseconds. */
export const DEFAULT_POLL_MS = 3_000;

/** Default duration of a task lease, in milliseconds. */
export const DEFAULT_TASK_LEASE_MS = 30_000;

/**
 * Default number of calls for callers that an owner has in process: with a job of the
 * largest payload each, some 20 MB.
 */
export const DEFAULT_OWNER_CALLS = 2_000;

/** Default number of final outcomes of direct work that are kept: some 20 MB. */
export const DEFAULT_KEPT_OUTCOMES = 20_000;
