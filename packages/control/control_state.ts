import type { ConfigHead, ConfigPage } from "../config/mod.ts";
import { type LimitsView, planLimits } from "../limits/mod.ts";
import {
  createDomainRecord,
  createMembershipPlan,
  type DomainRecord,
  isExpelled,
  listOwnedShards,
  type Member,
  type MembershipPlan,
  type MembershipView,
  planMembership,
  type TaskCounts,
} from "../membership/mod.ts";
import type { KeyRange, StoreCommit, StoreSnapshot } from "../platform/mod.ts";
import {
  CONFIG_HEAD_KEY,
  CONFIG_PAGE_PREFIX,
  CONFIG_PREFIX,
  DOMAIN_PREFIX,
  DOMAIN_SETTLE_MS,
} from "./constants.ts";
import { GrantRecords } from "./grant_records.ts";
import { RecordCache } from "./record_cache.ts";
import {
  CommitPurpose,
  CommitStatus,
  type Observation,
  type PlannedCommit,
} from "./types.ts";

/** Configuration records from the store. */
export interface StoredConfig {
  head?: ConfigHead;
  headRevision: number;
  pages: Map<number, ConfigPage>;
}

/** Writes of the domain record whose result is not known yet. */
interface UnsettledMembership {
  /** Revision of the domain record that the writes compare with. */
  revision: number;
  /** Shards that the writes may have released. */
  released: Set<number>;
}

/**
 * One entry's view of the store records that all entries share. A write counts
 * only once the store has confirmed it. Shards and grants that a write in
 * flight may release do not count as this entry's.
 */
export class ControlState {
  readonly domain: string;
  readonly self: Member;
  readonly config: StoredConfig = { headRevision: 0, pages: new Map() };
  readonly #domains = new RecordCache<DomainRecord>(DOMAIN_PREFIX);
  readonly grants: GrantRecords;
  #revision = 0;
  #reverted = false;
  #hasJoined = false;
  #unsettled: UnsettledMembership | undefined;
  /** Unsettled writes before the newest one, restored if that has no effect. */
  #previousUnsettled: UnsettledMembership | undefined;

  constructor(options: { domain: string; self: Member }) {
    this.domain = options.domain;
    this.self = options.self;
    const { domain, self } = options;
    this.grants = new GrantRecords({ domain, holder: self.incarnation });
  }

  /** True once this entry's membership is confirmed by the store. */
  get hasJoined(): boolean {
    return this.#hasJoined;
  }

  /** True once a snapshot was older than the one observed before it. */
  get isReverted(): boolean {
    return this.#reverted;
  }

  /**
   * Revision of the newest snapshot; 0 before the first snapshot and after a
   * reverted one.
   */
  get revision(): number {
    return this.#revision;
  }

  /** Lists the key ranges to read for the changes since the newest snapshot. */
  listRanges(): KeyRange[] {
    const minModRevision = this.#revision === 0 ? 0 : this.#revision + 1;
    const { fleet, domain } = this.grants.prefixes;
    const prefixes = [CONFIG_PREFIX, DOMAIN_PREFIX, fleet, domain];
    return prefixes.map((prefix) => ({ prefix, minModRevision }));
  }

  /** Applies a snapshot of the store and returns what it changed. */
  observe(snapshot: StoreSnapshot): Observation {
    const reverted = snapshot.revision < this.#revision;
    const observation: Observation = {
      membershipChanged: false,
      grantsChanged: false,
      reverted,
    };
    if (reverted) {
      this.#revision = 0;
      this.#reverted = true;
      return observation;
    }
    const [config, domains, fleet, domainBuckets] = snapshot.ranges;
    this.#observeConfig(config);
    for (const record of domains) {
      if (this.#observeDomain(record)) observation.membershipChanged = true;
    }
    this.grants.observe(fleet, domainBuckets);
    observation.grantsChanged = fleet.length + domainBuckets.length > 0;
    this.#revision = snapshot.revision;
    this.#dropSettled();
    return observation;
  }

  /** Returns the record of a failure domain. */
  findDomain(domain: string): DomainRecord | undefined {
    return this.#domains.get(domain)?.value;
  }

  /** Lists the names of all failure domains with a record. */
  listDomains(): string[] {
    return this.#domains.names;
  }

  /**
   * Lists the failure domains that may be homes of idempotency keys: those
   * whose records are old enough that every reachable entry has read them.
   */
  listSettledDomains(now: number): string[] {
    return [...this.#domains.list()].flatMap(([domain, { value }]) =>
      now - value.createdAt >= DOMAIN_SETTLE_MS ? [domain] : []
    );
  }

  /** Lists all members with their failure domains. */
  listMembers(): { domain: string; member: Member }[] {
    return [...this.#domains.list()].flatMap(([domain, { value }]) =>
      Object.values(value.members).map((member) => ({ domain, member }))
    );
  }

  /** Returns whether other entries have removed this member as gone. */
  isExpelled(): boolean {
    if (!this.#hasJoined) return false;
    const record = this.findDomain(this.domain);
    if (!record) return false;
    const view = { hasJoined: true, self: this.self } as MembershipView;
    return isExpelled(record, view);
  }

  /** Lists the shards that this entry owns. */
  listOwnedShards(): Set<number> {
    if (this.isExpelled()) return new Set();
    const record = this.findDomain(this.domain);
    return new Set(listOwnedShards(record, this.self.incarnation));
  }

  /** Returns whether every shard of every failure domain has an owner. */
  isWholeFleetOwned(): boolean {
    return [...this.#domains.list()].every(([, { value }]) =>
      value.shards.every(({ owner }) => owner !== null)
    );
  }

  /** Lists own shards that a write in flight may have handed over. */
  listUncertainShards(): Set<number> {
    return this.#unsettled?.released ?? new Set();
  }

  /** Counts this entry's running tasks on shards it handed over, by team. */
  countHandedOverTasks(): TaskCounts {
    const counts: TaskCounts = {};
    for (const shard of this.findDomain(this.domain)?.shards ?? []) {
      const ownTasks = shard.predecessors[this.self.incarnation] ?? {};
      for (const [team, tasks] of Object.entries(ownTasks)) {
        counts[team] = (counts[team] ?? 0) + tasks;
      }
    }
    return counts;
  }

  /**
   * Lists the tasks of former shard owners that may still run, by incarnation
   * and team; null while any of an incarnation's tasks are unknown.
   */
  listPredecessorTasks(): Record<string, TaskCounts | null> {
    const predecessorTasks: Record<string, TaskCounts | null> = {};
    for (const shard of this.findDomain(this.domain)?.shards ?? []) {
      for (const [incarnation, counts] of Object.entries(shard.predecessors)) {
        if (counts === null || predecessorTasks[incarnation] === null) {
          predecessorTasks[incarnation] = null;
          continue;
        }
        const sum = predecessorTasks[incarnation] ??= {};
        for (const [team, tasks] of Object.entries(counts)) {
          sum[team] = (sum[team] ?? 0) + tasks;
        }
      }
    }
    return predecessorTasks;
  }

  /** Plans this entry's changes of membership and shard ownership, if any. */
  planMembership(
    view: Omit<MembershipView, "self" | "hasJoined">,
    options: { writer: string; now: number },
  ): PlannedCommit | undefined {
    const { writer, now } = options;
    if (this.#revision === 0) return undefined;
    const current = this.findDomain(this.domain) ??
      createDomainRecord(now);
    const fullView = { ...view, self: this.self, hasJoined: this.#hasJoined };
    const plan = planMembership(current, fullView, { writer }) ??
      this.#planFence(current, writer);
    if (!plan) return undefined;
    return { purpose: CommitPurpose.Membership, plan };
  }

  /**
   * Plans this entry's changes to the grants of one bucket of teams. Returns
   * `undefined` if there is nothing to write or this entry has not joined its
   * domain.
   */
  planLimits(
    view: Omit<
      LimitsView,
      "domain" | "holder" | "domains" | "predecessorTasks"
    >,
    options: { bucket: number; writer: string },
  ): PlannedCommit | undefined {
    if (this.#revision === 0 || !this.#hasJoined) return undefined;
    const { bucket, writer } = options;
    const current = { ...this.grants.getBucket(bucket), bucket };
    const plan = planLimits(current, {
      ...view,
      domain: this.domain,
      holder: this.self.incarnation,
      domains: this.listDomains(),
      predecessorTasks: this.listPredecessorTasks(),
    }, { writer });
    this.grants.setCeilings(bucket, plan.ceilings);
    const isUnsettled = this.grants.isUnsettled(bucket);
    if (!plan.fleet && !plan.domain && !isUnsettled) return undefined;
    if (isUnsettled) plan.domain ??= { ...current.domain, writer };
    return { purpose: CommitPurpose.Limits, plan, bucket };
  }

  /** Builds the compare-and-swap of a planned commit. */
  buildCommit(planned: PlannedCommit): StoreCommit {
    if (planned.purpose === CommitPurpose.Limits) {
      return this.grants.buildCommit(planned.bucket, planned.plan);
    }
    const key = this.#domains.getKey(this.domain);
    const modRevision = this.#domains.getRevision(this.domain);
    const value = JSON.stringify(planned.plan.record);
    return { compares: [{ key, modRevision }], puts: [{ key, value }] };
  }

  /**
   * Records that a planned commit is in flight. Call this right before it is
   * sent: from now on, this entry must not rely on the shards and grants that
   * the commit releases.
   */
  begin(planned: PlannedCommit): void {
    if (planned.purpose === CommitPurpose.Limits) {
      this.grants.begin(planned.bucket, planned.plan);
      return;
    }
    this.#previousUnsettled = this.#unsettled;
    const alreadyReleased = this.#unsettled?.released ?? [];
    this.#unsettled = {
      revision: this.#domains.getRevision(this.domain),
      released: new Set([...alreadyReleased, ...planned.plan.released]),
    };
  }

  /**
   * Records the result of a commit. A commit with an unknown result stays
   * unsettled until one of the records that it compares has changed.
   */
  settle(
    planned: PlannedCommit,
    result: { status: CommitStatus; revision: number },
  ): void {
    const { status, revision } = result;
    if (status === CommitStatus.Unknown) return;
    const isSuccess = status === CommitStatus.Succeeded;
    if (planned.purpose === CommitPurpose.Limits) {
      const { bucket, plan } = planned;
      if (isSuccess) this.grants.adopt(bucket, plan, { revision });
      else this.grants.restore(bucket);
      return;
    }
    if (!isSuccess) {
      this.#unsettled = this.#previousUnsettled;
      return;
    }
    const value = planned.plan.record;
    this.#domains.set(this.domain, { value, modRevision: revision });
    if (planned.plan.joined) this.#hasJoined = true;
    this.#dropSettled();
  }

  /**
   * While the effect of a write is unknown, plans a write that compares with
   * the same revision. Only one of the two can take effect, so the result of
   * this one settles the other.
   */
  #planFence(
    current: DomainRecord,
    writer: string,
  ): MembershipPlan | undefined {
    if (!this.#unsettled || this.isExpelled()) return undefined;
    return createMembershipPlan(current, writer);
  }

  #observeConfig(records: StoreSnapshot["ranges"][number]): void {
    for (const record of records) {
      if (record.key === CONFIG_HEAD_KEY) {
        this.config.head = JSON.parse(record.value);
        this.config.headRevision = record.modRevision;
        continue;
      }
      const number = Number(record.key.slice(CONFIG_PAGE_PREFIX.length));
      this.config.pages.set(number, JSON.parse(record.value));
    }
  }

  #observeDomain(record: StoreSnapshot["ranges"][number][number]): boolean {
    const domainName = record.key.slice(DOMAIN_PREFIX.length);
    const cached = this.#domains.get(domainName);
    const epoch = (JSON.parse(record.value) as DomainRecord).epoch;
    if (cached && epoch < cached.value.epoch) return false;
    this.#domains.observe(record);
    if (domainName === this.domain && !this.#hasJoined) {
      const member = this.findDomain(domainName)?.members[this.self.vm];
      this.#hasJoined = member?.incarnation === this.self.incarnation;
    }
    return true;
  }

  /**
   * Clears the unsettled writes once the record has changed, because none of
   * them can take effect any more.
   */
  #dropSettled(): void {
    const revision = this.#domains.getRevision(this.domain);
    if (this.#unsettled && revision > this.#unsettled.revision) {
      this.#unsettled = undefined;
    }
  }
}
