import type { TaskCounts } from "../membership/mod.ts";

/** Parts of a team's limit, by holder, and what holders lack. */
export interface TeamGrants {
  grants: Record<string, number>;
  wants: Record<string, number>;
}

/** Parts of team limits by failure domain: one record of the store. */
export interface FleetBucket {
  writer: string;
  /** Version of the configuration that `limit` was taken from. */
  version: number;
  teams: Record<string, TeamGrants & { limit: number }>;
}

/** Parts of one failure domain's grants by entry: one record of the store. */
export interface DomainBucket {
  writer: string;
  teams: Record<string, TeamGrants>;
}

/** What one entry runs and has waiting for one team. */
export interface TeamDemand {
  usage: number;
  waiting: number;
}

/** What one entry knows when it decides on grants. */
export interface LimitsView {
  domain: string;
  holder: string;
  /** Members of this failure domain, this entry included. */
  holders: readonly string[];
  /** Failure domains that have a record. */
  domains: readonly string[];
  /** Version of the configuration that `limits` come from. */
  version: number;
  limits: Readonly<Record<string, number>>;
  demand: ReadonlyMap<string, TeamDemand>;
  /** Tasks left by former members; null while not known. */
  leftovers: Readonly<Record<string, TaskCounts | null>>;
  draining: boolean;
}

/** New buckets; one that did not change is left out. */
export interface LimitsPlan {
  fleet?: FleetBucket;
  domain?: DomainBucket;
  /** What this entry may run once the plan is written, by team. */
  granted: Record<string, number>;
  /**
   * Where this entry stops starting tasks, so that its use falls to its fair
   * part and the rest can go to others; teams that others want more of.
   */
  ceilings: Record<string, number>;
}
