/** One process of the system. A restart makes a new incarnation. */
export interface Member {
  vm: string;
  /** `domain/vm/nonce`; unique for ever. */
  incarnation: string;
  /** Address for callers and operators, as `ip:port`. */
  callers: string;
  /** Address for the other entries, as `ip:port`. */
  peers: string;
}

/** Running tasks for each team. */
export type TaskCounts = Record<string, number>;

/** Ownership of one shard of a failure domain's endpoints. */
export interface ShardRecord {
  owner: string | null;
  epoch: number;
  /** Id of the transfer of key history that came with the ownership, if any. */
  transfer: string | null;
  /**
   * Former owners with tasks that may still run, and how many for each team;
   * null while that is not known.
   */
  predecessors: Record<string, TaskCounts | null>;
}

/** Membership and ownership of one failure domain: one record in the store. */
export interface DomainRecord {
  epoch: number;
  /** Unique id of the write, so that a lost answer can be settled. */
  writer: string;
  /** When the first entry joined, in milliseconds since the Unix epoch. */
  createdAt: number;
  members: Record<string, Member>;
  shards: ShardRecord[];
}

/** What one entry knows when it decides on the domain record. */
export interface MembershipView {
  self: Member;
  hasJoined: boolean;
  draining: boolean;
  /** True when nothing accepted is in flight any more. */
  idle: boolean;
  /** Incarnations that are certainly gone with their VMs. */
  gone: ReadonlySet<string>;
  /** Incarnations that answer heartbeats, without this one. */
  reachable: ReadonlySet<string>;
  /** Number of endpoints in each shard. */
  shardSizes: readonly number[];
  /** Own shards in which no start is under way, with what still runs. */
  quiesced: ReadonlyMap<number, TaskCounts>;
  /** Own shards whose running tasks are known, by former owner. */
  recovered: ReadonlyMap<number, Record<string, TaskCounts>>;
}

/** A new domain record and what it changes. */
export interface MembershipPlan {
  record: DomainRecord;
  joined: boolean;
  left: boolean;
  buried: string[];
  claimed: number[];
  released: number[];
  recovered: number[];
}
