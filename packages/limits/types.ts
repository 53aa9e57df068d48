import type { TaskCounts } from "../membership/mod.ts";

/**
 * A team's grants at one level, in tasks. Holders are failure domains in a
 * fleet bucket and incarnations of entries in a domain bucket.
 */
export interface TeamGrants {
  /** Granted tasks by holder. */
  grants: Record<string, number>;
  /** Tasks that each holder lacks grants for. */
  wants: Record<string, number>;
}

/** Grants of the failure domains for some teams: one record in the store. */
export interface FleetBucket {
  /** Unique id of the write that made the record. */
  writer: string;
  /** Version of the configuration that the `limit` values come from. */
  version: number;
  teams: Record<string, TeamGrants & { limit: number }>;
}

/**
 * Grants of one failure domain's entries for some teams: one record in the
 * store.
 */
export interface DomainBucket {
  /** Unique id of the write that made the record. */
  writer: string;
  teams: Record<string, TeamGrants>;
}

/** One team's demand on one entry, in tasks. */
export interface TeamDemand {
  /** Tasks that run or are reserved. */
  usage: number;
  /** Tasks that wait for a grant or an endpoint. */
  waiting: number;
}

/** Input of an entry's decision on grants. */
export interface LimitsView {
  /** Failure domain of this entry. */
  domain: string;
  /** Incarnation of this entry. */
  holder: string;
  /** Incarnations of this failure domain's members, this entry included. */
  holders: readonly string[];
  /** Failure domains that have a record. */
  domains: readonly string[];
  /** Version of the configuration that `limits` come from. */
  version: number;
  /** Limits of the teams, in tasks. */
  limits: Readonly<Record<string, number>>;
  /** Demand of each team on this entry. */
  demand: ReadonlyMap<string, TeamDemand>;
  /**
   * Tasks of former members that may still run, by incarnation and team; null
   * while unknown.
   */
  predecessorTasks: Readonly<Record<string, TaskCounts | null>>;
  draining: boolean;
}

/** Planned changes of the buckets. An unchanged bucket is left out. */
export interface LimitsPlan {
  fleet?: FleetBucket;
  domain?: DomainBucket;
  /** Tasks that this entry may run once the plan is written, by team. */
  granted: Record<string, number>;
  /**
   * Usage at which this entry stops starting tasks, for each contended team.
   * Its usage then falls to its fair share, and the rest of its grant can go to
   * other holders.
   */
  ceilings: Record<string, number>;
}
