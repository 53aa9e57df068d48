import { assertInvariant, computeBucket } from "../base/mod.ts";
import { LIMIT_BUCKETS } from "./constants.ts";
import type {
  DomainBucket,
  FleetBucket,
  LimitsPlan,
  LimitsView,
  TeamGrants,
} from "./types.ts";

const bucketCache = new Map<string, number>();

/** Returns the index of the bucket that holds a team's grants. */
export function findBucket(team: string): number {
  let bucket = bucketCache.get(team);
  if (bucket === undefined) {
    bucket = computeBucket(team, LIMIT_BUCKETS);
    bucketCache.set(team, bucket);
  }
  return bucket;
}

/** Returns a fleet bucket without grants. */
export function createFleetBucket(): FleetBucket {
  return { writer: "", version: 0, teams: {} };
}

/** Returns a failure domain's bucket without grants. */
export function createDomainBucket(): DomainBucket {
  return { writer: "", teams: {} };
}

/** Returns the sum of the grants of all holders. */
export function sumGrants(team: TeamGrants | undefined): number {
  if (!team) return 0;
  return Object.values(team.grants).reduce((sum, grant) => sum + grant, 0);
}

/**
 * Plans the changes of this entry's grants in one bucket. The fleet bucket and
 * the domain bucket are written in one compare-and-swap, because a failure
 * between two separate writes could raise the sum of the grants.
 */
export function planLimits(
  current: { fleet: FleetBucket; domain: DomainBucket; bucket: number },
  view: LimitsView,
  options: { writer: string },
): LimitsPlan {
  const fleet = copyBucket(current.fleet);
  const domain = copyBucket(current.domain);
  adoptLimits(fleet, view, current);
  const ceilings: Record<string, number> = {};
  for (const name of listTeams(fleet, domain)) {
    const ceiling = planTeam({ fleet, domain, name }, view);
    if (ceiling !== Infinity) ceilings[name] = ceiling;
  }
  dropEmptyTeams(fleet, domain);
  const granted = listGranted(domain, view.holder);
  const plan: LimitsPlan = { granted, ceilings };
  if (!isSameJson(fleet, current.fleet)) {
    plan.fleet = { ...fleet, writer: options.writer };
  }
  if (!isSameJson(domain, current.domain)) {
    plan.domain = { ...domain, writer: options.writer };
  }
  return plan;
}

/** Returns a holder's grants by team. */
export function listGranted(
  domain: DomainBucket,
  holder: string,
): Record<string, number> {
  const granted: Record<string, number> = {};
  for (const [name, team] of Object.entries(domain.teams)) {
    granted[name] = team.grants[holder] ?? 0;
  }
  return granted;
}

function createFleetTeam(): FleetBucket["teams"][string] {
  return { limit: 0, grants: {}, wants: {} };
}

function copyBucket<T extends FleetBucket | DomainBucket>(bucket: T): T {
  const teams: Record<string, TeamGrants> = {};
  for (const [name, team] of Object.entries(bucket.teams)) {
    const { grants, wants } = team;
    teams[name] = { ...team, grants: { ...grants }, wants: { ...wants } };
  }
  return { ...bucket, teams };
}

/** A team and the buckets of both levels that hold its grants. */
interface TeamInBuckets {
  fleet: FleetBucket;
  domain: DomainBucket;
  name: string;
}

/**
 * Writes the configured limits into the fleet bucket, unless the bucket has
 * them from a newer configuration.
 */
function adoptLimits(
  fleet: FleetBucket,
  view: LimitsView,
  options: { bucket: number },
): void {
  if (view.version < fleet.version) return;
  const limits = Object.entries(view.limits).filter(([name]) =>
    findBucket(name) === options.bucket
  );
  const configuredLimits = new Map(limits);
  const names = new Set([
    ...Object.keys(fleet.teams),
    ...configuredLimits.keys(),
  ]);
  for (const name of names) {
    const limit = configuredLimits.get(name) ?? 0;
    const team = fleet.teams[name] ??= createFleetTeam();
    if (team.limit === limit) continue;
    team.limit = limit;
    fleet.version = view.version;
  }
}

/**
 * Plans one team's grants in place. Returns this entry's ceiling; infinity if
 * there is none.
 */
function planTeam(target: TeamInBuckets, view: LimitsView): number {
  const fleetTeam = target.fleet.teams[target.name] ??= createFleetTeam();
  const domainTeam = target.domain.teams[target.name] ??= {
    grants: {},
    wants: {},
  };
  releaseFormerHolders(domainTeam, view, target);
  const contended = isContended(fleetTeam, domainTeam, view);
  const ceiling = contended
    ? computeFairCeiling(fleetTeam, domainTeam, { name: target.name, view })
    : Infinity;
  const options = { name: target.name, view, ceiling, contended };
  lowerOwnGrant(domainTeam, options);
  raiseOwnGrant(fleetTeam, domainTeam, options);
  returnUnusedToFleet(fleetTeam, domainTeam, view);
  assertInvariant(
    sumGrants(domainTeam) <= (fleetTeam.grants[view.domain] ?? 0),
    `Grants of team ${target.name} exceed the grant of domain ${view.domain}`,
  );
  return ceiling;
}

/**
 * Lowers each former member's grant to its tasks that still run. While these
 * are unknown, the grant stays.
 */
function releaseFormerHolders(
  domainTeam: TeamGrants,
  view: LimitsView,
  options: { name: string },
): void {
  for (const holder of Object.keys(domainTeam.grants)) {
    if (view.holders.includes(holder)) continue;
    delete domainTeam.wants[holder];
    const tasks = view.predecessorTasks[holder];
    if (tasks === null) continue;
    const running = tasks?.[options.name] ?? 0;
    setAmount(domainTeam.grants, holder, {
      value: Math.min(domainTeam.grants[holder], running),
    });
  }
}

/**
 * Lowers this entry's grant to its demand or its ceiling, whichever is less,
 * but not below its usage. Applies while the team's grants are contended;
 * during a drain, the entry keeps only what it uses.
 */
function lowerOwnGrant(
  domainTeam: TeamGrants,
  options: {
    name: string;
    view: LimitsView;
    ceiling: number;
    contended: boolean;
  },
): void {
  const { name, view, ceiling, contended } = options;
  const ownGrant = domainTeam.grants[view.holder] ?? 0;
  if (!contended && !view.draining) return;
  const { usage, waiting } = findDemand(name, view);
  const target = view.draining ? 0 : Math.min(usage + waiting, ceiling);
  const retainedGrant = Math.max(usage, target);
  setAmount(domainTeam.grants, view.holder, {
    value: Math.min(ownGrant, retainedGrant),
  });
}

/**
 * Raises this entry's grant towards its target: first from what its domain has
 * left, then from what the fleet has left. The grant is not raised while the
 * domains' grants add up to more than the limit. Records the tasks that still
 * lack a grant.
 */
function raiseOwnGrant(
  fleetTeam: FleetBucket["teams"][string],
  domainTeam: TeamGrants,
  options: { name: string; view: LimitsView; ceiling: number },
): void {
  const { name, view, ceiling } = options;
  const ownGrant = domainTeam.grants[view.holder] ?? 0;
  const target = view.draining
    ? 0
    : Math.min(computeTargetGrant(fleetTeam, view, options), ceiling);
  const freeInDomain = Math.max(
    0,
    (fleetTeam.grants[view.domain] ?? 0) - sumGrants(domainTeam),
  );
  const freeInFleet = Math.max(0, fleetTeam.limit - sumGrants(fleetTeam));
  const available = sumGrants(fleetTeam) > fleetTeam.limit
    ? 0
    : freeInDomain + freeInFleet;
  const addedGrant = Math.min(Math.max(0, target - ownGrant), available);
  setAmount(fleetTeam.grants, view.domain, {
    value: (fleetTeam.grants[view.domain] ?? 0) +
      Math.max(0, addedGrant - freeInDomain),
  });
  setAmount(domainTeam.grants, view.holder, { value: ownGrant + addedGrant });
  const { usage, waiting } = findDemand(name, view);
  const lackingTasks = view.draining
    ? 0
    : usage + waiting - ownGrant - addedGrant;
  setAmount(domainTeam.wants, view.holder, {
    value: Math.max(0, lackingTasks),
  });
  setAmount(fleetTeam.wants, view.domain, {
    value: sumAmounts(domainTeam.wants),
  });
}

/**
 * Lowers the domain's grant to the sum of its entries' grants when other
 * domains lack grants or the grants exceed a lowered limit.
 */
function returnUnusedToFleet(
  fleetTeam: FleetBucket["teams"][string],
  domainTeam: TeamGrants,
  view: LimitsView,
): void {
  const domainGrant = fleetTeam.grants[view.domain] ?? 0;
  const isOverLimit = sumGrants(fleetTeam) > fleetTeam.limit;
  if (!isOverLimit && !hasOtherWants(fleetTeam.wants, view.domain)) return;
  setAmount(fleetTeam.grants, view.domain, {
    value: Math.min(domainGrant, sumGrants(domainTeam)),
  });
}

/**
 * Returns the grant that this entry aims for: its demand, or an equal part of
 * the limit if that is more. The number of entries in the fleet is estimated:
 * each failure domain counts as having as many members as this one.
 */
function computeTargetGrant(
  fleetTeam: FleetBucket["teams"][string],
  view: LimitsView,
  options: { name: string },
): number {
  const { usage, waiting } = findDemand(options.name, view);
  const estimatedEntries = view.domains.length * view.holders.length;
  const baseGrant = Math.floor(fleetTeam.limit / Math.max(1, estimatedEntries));
  return Math.max(usage + waiting, baseGrant);
}

/**
 * Returns this entry's ceiling while the team's grants are contended: its
 * max-min fair share of what its domain can have. While the domains' grants add
 * up to more than the limit, the ceiling is also at most this entry's grant,
 * scaled down in proportion. Returns infinity if all needs can be met and the
 * grants are within the limit.
 */
function computeFairCeiling(
  fleetTeam: FleetBucket["teams"][string],
  domainTeam: TeamGrants,
  options: { name: string; view: LimitsView },
): number {
  const { name, view } = options;
  const domainGrant = fleetTeam.grants[view.domain] ?? 0;
  const fleetSum = sumGrants(fleetTeam);
  const available = domainGrant + Math.max(0, fleetTeam.limit - fleetSum);
  const domainLevel = hasOtherWants(fleetTeam.wants, view.domain)
    ? computeFairLevel(listNeeds(fleetTeam), fleetTeam.limit)
    : Infinity;
  const { usage, waiting } = findDemand(name, view);
  const needs = { ...listNeeds(domainTeam), [view.holder]: usage + waiting };
  const fairShare = computeFairLevel(needs, Math.min(available, domainLevel));
  if (fleetSum <= fleetTeam.limit) return fairShare;
  const ownGrant = domainTeam.grants[view.holder] ?? 0;
  return Math.min(fairShare, Math.floor(ownGrant * fleetTeam.limit / fleetSum));
}

/** Returns the number of granted plus lacking tasks by holder. */
function listNeeds(team: TeamGrants): Record<string, number> {
  const needs = { ...team.grants };
  for (const [holder, lackingTasks] of Object.entries(team.wants)) {
    needs[holder] = (needs[holder] ?? 0) + lackingTasks;
  }
  return needs;
}

/**
 * Returns the max-min fair level: needs below the level are met in full, all
 * others get the level, rounded up. Returns infinity if all needs can be met.
 */
function computeFairLevel(
  needs: Record<string, number>,
  total: number,
): number {
  const sorted = Object.values(needs).sort((a, b) => a - b);
  let remaining = total;
  for (const [index, need] of sorted.entries()) {
    const equalPart = remaining / (sorted.length - index);
    if (need > equalPart) return Math.ceil(equalPart);
    remaining -= need;
  }
  return Infinity;
}

/** Returns whether other holders lack grants or the grants exceed the limit. */
function isContended(
  fleetTeam: FleetBucket["teams"][string],
  domainTeam: TeamGrants,
  view: LimitsView,
): boolean {
  return sumGrants(fleetTeam) > fleetTeam.limit ||
    hasOtherWants(domainTeam.wants, view.holder) ||
    hasOtherWants(fleetTeam.wants, view.domain);
}

/** Returns whether a holder other than `self` lacks grants. */
function hasOtherWants(
  wants: Record<string, number>,
  self: string,
): boolean {
  return Object.entries(wants).some(([holder, amount]) =>
    holder !== self && amount > 0
  );
}

function findDemand(
  name: string,
  view: LimitsView,
): { usage: number; waiting: number } {
  return view.demand.get(name) ?? { usage: 0, waiting: 0 };
}

/** Sets a holder's amount; a holder with zero has no item. */
function setAmount(
  amounts: Record<string, number>,
  holder: string,
  options: { value: number },
): void {
  const { value } = options;
  if (value === 0) delete amounts[holder];
  else amounts[holder] = value;
}

function sumAmounts(amounts: Record<string, number>): number {
  return Object.values(amounts).reduce((sum, amount) => sum + amount, 0);
}

function listTeams(fleet: FleetBucket, domain: DomainBucket): string[] {
  const names = [...Object.keys(fleet.teams), ...Object.keys(domain.teams)];
  return [...new Set(names)];
}

function dropEmptyTeams(fleet: FleetBucket, domain: DomainBucket): void {
  for (const [name, team] of Object.entries(domain.teams)) {
    if (isEmpty(team)) delete domain.teams[name];
  }
  for (const [name, team] of Object.entries(fleet.teams)) {
    if (team.limit === 0 && isEmpty(team)) delete fleet.teams[name];
  }
}

function isEmpty(team: TeamGrants): boolean {
  return Object.keys(team.grants).length === 0 &&
    Object.keys(team.wants).length === 0;
}

function isSameJson(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
