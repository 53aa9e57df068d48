import {
  createDomainBucket,
  createFleetBucket,
  type DomainBucket,
  findBucket,
  type FleetBucket,
  LIMIT_BUCKETS,
  type LimitsPlan,
  listGranted,
  sumGrants,
} from "../limits/mod.ts";
import type { StoreCommit, StoreRecord } from "../platform/mod.ts";
import { DOMAIN_LIMIT_PREFIX, FLEET_LIMIT_PREFIX } from "./constants.ts";
import { RecordCache } from "./record_cache.ts";

/** Writes of one bucket whose result is not known yet. */
interface UnsettledLimits {
  /** Revisions of the records that the writes compare with. */
  revisions: { fleet: number; domain: number };
  /** Lowest grants that this entry may have after the writes, by team. */
  granted: Record<string, number>;
}

/**
 * One entry's view of the grants. A grant that a write in flight lowers counts
 * as lowered; a grant that it raises counts only once the write has succeeded.
 */
export class GrantRecords {
  readonly #holder: string;
  readonly #fleetBuckets = new RecordCache<FleetBucket>(FLEET_LIMIT_PREFIX);
  readonly #domainBuckets: RecordCache<DomainBucket>;
  readonly #unsettled = new Map<number, UnsettledLimits>();
  readonly #ceilings = new Map<number, Record<string, number>>();
  /** Unsettled writes before the newest one, restored if that has no effect. */
  #previousUnsettled: UnsettledLimits | undefined;

  constructor(options: { domain: string; holder: string }) {
    this.#holder = options.holder;
    this.#domainBuckets = new RecordCache(
      `${DOMAIN_LIMIT_PREFIX}${options.domain}/`,
    );
  }

  /** Key prefixes of the fleet buckets and of this domain's buckets. */
  get prefixes(): { fleet: string; domain: string } {
    return {
      fleet: FLEET_LIMIT_PREFIX,
      domain: this.#domainBuckets.getKey(""),
    };
  }

  /** Applies records that were read from the store. */
  observe(fleet: StoreRecord[], domain: StoreRecord[]): void {
    for (const record of fleet) this.#fleetBuckets.observe(record);
    for (const record of domain) this.#domainBuckets.observe(record);
    this.#dropSettled();
  }

  /** Returns a bucket's fleet and domain records; absent ones are empty. */
  getBucket(bucket: number): { fleet: FleetBucket; domain: DomainBucket } {
    const name = String(bucket);
    return {
      fleet: this.#fleetBuckets.get(name)?.value ?? createFleetBucket(),
      domain: this.#domainBuckets.get(name)?.value ?? createDomainBucket(),
    };
  }

  /** Returns whether the effect of a write to a bucket is unknown. */
  isUnsettled(bucket: number): boolean {
    return this.#unsettled.has(bucket);
  }

  /**
   * Returns the number of tasks that this entry may run for each team under the
   * configured limits. While the records still have a higher limit, the grant
   * is scaled down in proportion to the lowered limit. Otherwise, while the
   * records' grants add up to more than the limit, the grant is 0, so that no
   * task starts. No grant is above this entry's ceiling for the team.
   */
  listGrants(limits: Readonly<Record<string, number>>): Record<string, number> {
    const grants = this.#listRecordedGrants();
    for (const [team, granted] of Object.entries(grants)) {
      const limit = limits[team] ?? 0;
      const fleetTeam = this.#findFleetTeam(team);
      const recordedLimit = fleetTeam?.limit ?? 0;
      const sum = sumGrants(fleetTeam);
      if (recordedLimit > limit) {
        const divisor = Math.max(recordedLimit, sum);
        grants[team] = Math.floor(granted * limit / divisor);
      } else if (sum > limit) grants[team] = 0;
      const ceiling = this.#ceilings.get(findBucket(team))?.[team];
      if (ceiling !== undefined) {
        grants[team] = Math.min(grants[team], ceiling);
      }
    }
    return grants;
  }

  /** Returns whether no limit in the records is above the given limits. */
  coversLimits(limits: Readonly<Record<string, number>>): boolean {
    return [...this.#fleetBuckets.list()].every(([, { value }]) =>
      Object.entries(value.teams).every(([name, team]) =>
        team.limit <= (limits[name] ?? 0)
      )
    );
  }

  #findFleetTeam(team: string): FleetBucket["teams"][string] | undefined {
    return this.#fleetBuckets.get(String(findBucket(team)))?.value.teams[team];
  }

  #listRecordedGrants(): Record<string, number> {
    const grants: Record<string, number> = {};
    for (let bucket = 0; bucket < LIMIT_BUCKETS; bucket++) {
      const record = this.#domainBuckets.get(String(bucket))?.value;
      if (!record) continue;
      const granted = listGranted(record, this.#holder);
      const unsettled = this.#unsettled.get(bucket)?.granted;
      for (const [team, tasks] of Object.entries(granted)) {
        grants[team] = Math.min(tasks, unsettled?.[team] ?? tasks);
        if (unsettled && !(team in unsettled)) grants[team] = 0;
      }
    }
    return grants;
  }

  /** Sets the usage at which this entry stops starting tasks, by team. */
  setCeilings(bucket: number, ceilings: Record<string, number>): void {
    this.#ceilings.set(bucket, ceilings);
  }

  /**
   * Builds the compare-and-swap of a plan for one bucket. The revisions of both
   * records are compared, whichever of them is written.
   */
  buildCommit(bucket: number, plan: LimitsPlan): StoreCommit {
    const name = String(bucket);
    const fleetKey = this.#fleetBuckets.getKey(name);
    const domainKey = this.#domainBuckets.getKey(name);
    const puts = [];
    if (plan.fleet) {
      puts.push({ key: fleetKey, value: JSON.stringify(plan.fleet) });
    }
    if (plan.domain) {
      puts.push({ key: domainKey, value: JSON.stringify(plan.domain) });
    }
    const compares = [
      { key: fleetKey, modRevision: this.#fleetBuckets.getRevision(name) },
      { key: domainKey, modRevision: this.#domainBuckets.getRevision(name) },
    ];
    return { compares, puts };
  }

  /**
   * Records that a plan's write is in flight. Call this right before it is
   * sent: from now on, the grants that the write releases do not count.
   */
  begin(bucket: number, plan: LimitsPlan): void {
    const name = String(bucket);
    this.#previousUnsettled = this.#unsettled.get(bucket);
    this.#unsettled.set(bucket, {
      revisions: {
        fleet: this.#fleetBuckets.getRevision(name),
        domain: this.#domainBuckets.getRevision(name),
      },
      granted: combineMinimum(plan.granted, this.#previousUnsettled?.granted),
    });
  }

  /** Undoes `begin` for a plan that had no effect. */
  restore(bucket: number): void {
    if (this.#previousUnsettled) {
      this.#unsettled.set(bucket, this.#previousUnsettled);
    } else this.#unsettled.delete(bucket);
  }

  /** Applies a plan that took effect at a revision. */
  adopt(bucket: number, plan: LimitsPlan, options: { revision: number }): void {
    const name = String(bucket);
    const { fleet, domain } = plan;
    const modRevision = options.revision;
    if (fleet) this.#fleetBuckets.set(name, { value: fleet, modRevision });
    if (domain) this.#domainBuckets.set(name, { value: domain, modRevision });
    this.#dropSettled();
  }

  /**
   * Clears the unsettled writes of a bucket once one of its records has
   * changed, because none of them can take effect any more.
   */
  #dropSettled(): void {
    for (const [bucket, { revisions }] of [...this.#unsettled]) {
      const name = String(bucket);
      const isSettled =
        this.#fleetBuckets.getRevision(name) > revisions.fleet ||
        this.#domainBuckets.getRevision(name) > revisions.domain;
      if (isSettled) this.#unsettled.delete(bucket);
    }
  }
}

/** Returns the lower grant of each team; 0 if there is no earlier grant. */
function combineMinimum(
  granted: Record<string, number>,
  earlierGrants: Record<string, number> | undefined,
): Record<string, number> {
  if (!earlierGrants) return granted;
  const minimum: Record<string, number> = {};
  for (const [team, tasks] of Object.entries(granted)) {
    minimum[team] = Math.min(tasks, earlierGrants[team] ?? 0);
  }
  return minimum;
}
