import type { Endpoint } from "./types.ts";

/** Predicted ends of runs in a pass, filled when needed. */
export interface Releases {
  /** Remaining time and cores of the runs on an endpoint, the first to end first. */
  byEndpoint: Map<Endpoint, { restMs: number; milliCores: number }[]>;
  /** Endpoints for whose next free room a task of this pass already waits. */
  claimed: Set<Endpoint>;
}

/** Makes the releases of a new pass. */
export function makeReleases(): Releases {
  return { byEndpoint: new Map(), claimed: new Set() };
}
