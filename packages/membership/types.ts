/** A member of a failure domain: one entry process. */
export interface Member {
  vm: string;
  /** `domain/vm/nonce`; unique for each start of the process. */
  incarnation: string;
  /** Address for callers and operators, as `ip:port`. */
  callers: string;
  /** Address for the other entries, as `ip:port`. */
  peers: string;
}

/** Number of running tasks by team. */
export type TaskCounts = Record<string, number>;

/** Ownership of one shard of a failure domain's endpoints. */
export interface ShardRecord {
  /** Incarnation of the owner; null while the shard has none. */
  owner: string | null;
  /** Number that is raised with each change of the owner. */
  epoch: number;
  /** Id of the transfer of key records that came with the ownership, if any. */
  transfer: string | null;
  /**
   * Tasks that former owners started and that may still run, by incarnation and
   * team; null while the tasks are unknown.
   */
  predecessors: Record<string, TaskCounts | null>;
}

/** Members and shard owners of one failure domain: one record in the store. */
export interface DomainRecord {
  /** Number that is raised with each write of the record. */
  epoch: number;
  /**
   * Unique id of the write, so that a write whose answer was lost can be
   * recognised.
   */
  writer: string;
  /** When the first entry joined, in milliseconds since the Unix epoch. */
  createdAt: number;
  /** Members by VM. */
  members: Record<string, Member>;
  shards: ShardRecord[];
}

/** Input of an entry's decision on its domain record. */
export interface MembershipView {
  self: Member;
  /** True once the store has confirmed this entry's membership. */
  hasJoined: boolean;
  draining: boolean;
  /** True when no accepted request is in flight. */
  idle: boolean;
  /** Incarnations whose VMs are certainly gone. */
  gone: ReadonlySet<string>;
  /**
   * Incarnations of the domain that answer heartbeats and do not drain, this
   * entry excluded.
   */
  reachable: ReadonlySet<string>;
  /** Number of endpoints in each shard. */
  shardSizes: readonly number[];
  /**
   * Own shards that have no start or reservation in flight, with the running
   * tasks that this entry started there, by team.
   */
  quiesced: ReadonlyMap<number, TaskCounts>;
  /**
   * Own shards whose endpoints have all reported their running tasks, with the
   * adopted ones by former owner and team.
   */
  recovered: ReadonlyMap<number, Record<string, TaskCounts>>;
}

/** A new domain record and a summary of its changes. */
export interface MembershipPlan {
  record: DomainRecord;
  /** Whether this entry becomes a member. */
  joined: boolean;
  /** Whether this entry leaves the failure domain. */
  left: boolean;
  /** Incarnations that are removed, because their processes have ended. */
  removedMembers: string[];
  /** Unowned shards that this entry takes over. */
  claimed: number[];
  /** Shards that this entry hands over. */
  released: number[];
  /** Own shards whose predecessors' tasks are updated. */
  recovered: number[];
}
