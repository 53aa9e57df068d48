/** Memory of the smallest VM of the sites, in MB. */
export const MEMORY_MB = 160;

/** Heap of a process for such a VM, in MB. */
export const HEAP_MB = 64;

/** Descriptors of a process that a crowd could use up. */
export const FEW_DESCRIPTORS = 400;

/** Most of them that may be open: an entry needs the others for itself. */
export const MAX_FEW_DESCRIPTORS = 300;

/** Most descriptors that may be open after a crowd has left. */
export const MAX_IDLE_DESCRIPTORS = 100;

/** Time in which an entry notices that a crowd has left, in milliseconds. */
export const SETTLE_MS = 2_000;

/** Longest wait for something that must happen at all, in milliseconds. */
export const WAIT_MS = 20_000;

/** Pause before it is looked for again, in milliseconds. */
export const RETRY_MS = 250;

export const TEST_TIMEOUT_MS = 120_000;
