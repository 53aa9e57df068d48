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

interface UnsettledLimits {
  revisions: { fleet: number; domain: number };
  granted: Record<string, number>;
}

/**
 * One entry's view of the grants. What a write under way gives up does not
 * count any more, and what it gains counts only once the store has shown it.
 */
export class GrantRecords {
  readonly #holder: string;
  readonly #fleet = new RecordCache<FleetBucket>(FLEET_LIMIT_PREFIX);
  readonly #buckets: RecordCache<DomainBucket>;
  readonly #unsettled = new Map<number, UnsettledLimits>();
  readonly #ceilings = new Map<number, Record<string, number>>();
  #before: UnsettledLimits | undefined;

  constructor(options: { domain: string; holder: string }) {
    this.#holder = options.holder;
    this.#buckets = new RecordCache(`${DOMAIN_LIMIT_PREFIX}${options.domain}/`);
  }

  /** Prefixes of the records, at both levels. */
  get prefixes(): { fleet: string; domain: string } {
    return { fleet: FLEET_LIMIT_PREFIX, domain: this.#buckets.getKey("") };
  }

  /** Adopts what was read. */
  observe(fleet: StoreRecord[], domain: StoreRecord[]): void {
    for (const record of fleet) this.#fleet.observe(record);
    for (const record of domain) this.#buckets.observe(record);
    this.#dropSettled();
  }

  /** Returns both records of one bucket. */
  getBucket(bucket: number): { fleet: FleetBucket; domain: DomainBucket } {
    const name = String(bucket);
    return {
      fleet: this.#fleet.get(name)?.value ?? createFleetBucket(),
      domain: this.#buckets.get(name)?.value ?? createDomainBucket(),
    };
  }

  /** Tells whether the effect of a write to a bucket is unknown. */
  isUnsettled(bucket: number): boolean {
    return this.#unsettled.has(bucket);
  }

  /**
   * What this entry may run for each team under the limits in force. While a
   * lowered limit is not in the records yet, each entry keeps its part of it;
   * while the records hold more than the limit, nothing starts.
   */
  listGrants(limits: Readonly<Record<string, number>>): Record<string, number> {
    const grants = this.#listRecordedGrants();
    for (const [team, granted] of Object.entries(grants)) {
      const limit = limits[team] ?? 0;
      const record = this.#findFleetTeam(team);
      const recorded = record?.limit ?? 0;
      const sum = sumGrants(record);
      if (recorded > limit) {
        const whole = Math.max(recorded, sum);
        grants[team] = Math.floor(granted * limit / whole);
      } else if (sum > limit) grants[team] = 0;
      const ceiling = this.#ceilings.get(findBucket(team))?.[team];
      if (ceiling !== undefined) {
        grants[team] = Math.min(grants[team], ceiling);
      }
    }
    return grants;
  }

  /** Tells whether the records are at or below these limits. */
  coversLimits(limits: Readonly<Record<string, number>>): boolean {
    return [...this.#fleet.list()].every(([, { value }]) =>
      Object.entries(value.teams).every(([name, team]) =>
        team.limit <= (limits[name] ?? 0)
      )
    );
  }

  #findFleetTeam(team: string): FleetBucket["teams"][string] | undefined {
    return this.#fleet.get(String(findBucket(team)))?.value.teams[team];
  }

  #listRecordedGrants(): Record<string, number> {
    const grants: Record<string, number> = {};
    for (let bucket = 0; bucket < LIMIT_BUCKETS; bucket++) {
      const record = this.#buckets.get(String(bucket))?.value;
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

  /** Adopts where this entry stops, for the teams of one bucket. */
  setCeilings(bucket: number, ceilings: Record<string, number>): void {
    this.#ceilings.set(bucket, ceilings);
  }

  /** Builds the compare-and-swap of a plan for one bucket. */
  buildCommit(bucket: number, plan: LimitsPlan): StoreCommit {
    const name = String(bucket);
    const fleetKey = this.#fleet.getKey(name);
    const domainKey = this.#buckets.getKey(name);
    const puts = [];
    if (plan.fleet) {
      puts.push({ key: fleetKey, value: JSON.stringify(plan.fleet) });
    }
    if (plan.domain) {
      puts.push({ key: domainKey, value: JSON.stringify(plan.domain) });
    }
    const compares = [
      { key: fleetKey, modRevision: this.#fleet.getRevision(name) },
      { key: domainKey, modRevision: this.#buckets.getRevision(name) },
    ];
    return { compares, puts };
  }

  /** Call right before a plan is sent: what it gives up is gone. */
  begin(bucket: number, plan: LimitsPlan): void {
    const name = String(bucket);
    this.#before = this.#unsettled.get(bucket);
    this.#unsettled.set(bucket, {
      revisions: {
        fleet: this.#fleet.getRevision(name),
        domain: this.#buckets.getRevision(name),
      },
      granted: combineMinimum(plan.granted, this.#before?.granted),
    });
  }

  /** A plan without effect leaves what was uncertain before it. */
  restore(bucket: number): void {
    if (this.#before) this.#unsettled.set(bucket, this.#before);
    else this.#unsettled.delete(bucket);
  }

  /** Adopts a plan that took effect at a revision. */
  adopt(bucket: number, plan: LimitsPlan, options: { revision: number }): void {
    const name = String(bucket);
    const { fleet, domain } = plan;
    const modRevision = options.revision;
    if (fleet) this.#fleet.set(name, { value: fleet, modRevision });
    if (domain) this.#buckets.set(name, { value: domain, modRevision });
    this.#dropSettled();
  }

  /** A lost write can take no effect once a compared key has changed. */
  #dropSettled(): void {
    for (const [bucket, { revisions }] of [...this.#unsettled]) {
      const name = String(bucket);
      const isOver = this.#fleet.getRevision(name) > revisions.fleet ||
        this.#buckets.getRevision(name) > revisions.domain;
      if (isOver) this.#unsettled.delete(bucket);
    }
  }
}

function combineMinimum(
  granted: Record<string, number>,
  earlier: Record<string, number> | undefined,
): Record<string, number> {
  if (!earlier) return granted;
  const minimum: Record<string, number> = {};
  for (const [team, tasks] of Object.entries(granted)) {
    minimum[team] = Math.min(tasks, earlier[team] ?? 0);
  }
  return minimum;
}
