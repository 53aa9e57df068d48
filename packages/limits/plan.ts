import { assertInvariant, computeBucket } from "../base/mod.ts";
import { LIMIT_BUCKETS } from "./constants.ts";
import type {
  DomainBucket,
  FleetBucket,
  LimitsPlan,
  LimitsView,
  TeamGrants,
} from "./types.ts";

const knownBuckets = new Map<string, number>();

/** Returns the bucket that holds a team's grants. */
export function findBucket(team: string): number {
  let bucket = knownBuckets.get(team);
  if (bucket === undefined) {
    bucket = computeBucket(team, LIMIT_BUCKETS);
    knownBuckets.set(team, bucket);
  }
  return bucket;
}

/** Returns a bucket without grants. */
export function createFleetBucket(): FleetBucket {
  return { writer: "", version: 0, teams: {} };
}

/** Returns a failure domain's bucket without grants. */
export function createDomainBucket(): DomainBucket {
  return { writer: "", teams: {} };
}

/** Adds up the grants of all holders. */
export function sumGrants(team: TeamGrants | undefined): number {
  if (!team) return 0;
  return Object.values(team.grants).reduce((sum, part) => sum + part, 0);
}

/**
 * Decides how the grants of one bucket change. Both buckets are written in one
 * compare-and-swap, so that no failure in between can raise a sum.
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
    const cap = planTeam({ fleet, domain, name }, view);
    if (cap !== Infinity) ceilings[name] = cap;
  }
  dropEmptyTeams(fleet, domain);
  const granted = listGranted(domain, view.holder);
  const plan: LimitsPlan = { granted, ceilings };
  if (!isSame(fleet, current.fleet)) {
    plan.fleet = { ...fleet, writer: options.writer };
  }
  if (!isSame(domain, current.domain)) {
    plan.domain = { ...domain, writer: options.writer };
  }
  return plan;
}

/** Lists what a holder is granted, by team. */
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

interface TeamPlace {
  fleet: FleetBucket;
  domain: DomainBucket;
  name: string;
}

/** A stale entry never overwrites limits of a newer configuration. */
function adoptLimits(
  fleet: FleetBucket,
  view: LimitsView,
  options: { bucket: number },
): void {
  if (view.version < fleet.version) return;
  const limits = Object.entries(view.limits).filter(([name]) =>
    findBucket(name) === options.bucket
  );
  const wanted = new Map(limits);
  const names = new Set([...Object.keys(fleet.teams), ...wanted.keys()]);
  for (const name of names) {
    const limit = wanted.get(name) ?? 0;
    const team = fleet.teams[name] ??= createFleetTeam();
    if (team.limit === limit) continue;
    team.limit = limit;
    fleet.version = view.version;
  }
}

function planTeam(place: TeamPlace, view: LimitsView): number {
  const team = place.fleet.teams[place.name] ??= createFleetTeam();
  const own = place.domain.teams[place.name] ??= { grants: {}, wants: {} };
  releaseLeftovers(own, view, place);
  const contended = isContended(team, own, view);
  const cap = contended
    ? computeCap(team, own, { name: place.name, view })
    : Infinity;
  const options = { name: place.name, view, cap, contended };
  lowerOwn(own, options);
  raiseOwn(team, own, options);
  returnToFleet(team, own, view);
  assertInvariant(
    sumGrants(own) <= (team.grants[view.domain] ?? 0),
    `Grants of ${place.name} exceed what ${view.domain} was granted`,
  );
  return cap;
}

/** A former member keeps only what its leftover tasks still use. */
function releaseLeftovers(
  own: TeamGrants,
  view: LimitsView,
  options: { name: string },
): void {
  for (const holder of Object.keys(own.grants)) {
    if (view.holders.includes(holder)) continue;
    delete own.wants[holder];
    const left = view.leftovers[holder];
    if (left === null) continue;
    const running = left?.[options.name] ?? 0;
    setPart(own.grants, holder, {
      value: Math.min(own.grants[holder], running),
    });
  }
}

/** Gives up what this entry does not use, while others lack some. */
function lowerOwn(
  own: TeamGrants,
  options: {
    name: string;
    view: LimitsView;
    cap: number;
    contended: boolean;
  },
): void {
  const { name, view, cap, contended } = options;
  const mine = own.grants[view.holder] ?? 0;
  if (!contended && !view.draining) return;
  const { usage, waiting } = findDemand(name, view);
  const wanted = view.draining ? 0 : Math.min(usage + waiting, cap);
  const kept = Math.max(usage, wanted);
  setPart(own.grants, view.holder, { value: Math.min(mine, kept) });
}

function raiseOwn(
  team: FleetBucket["teams"][string],
  own: TeamGrants,
  options: { name: string; view: LimitsView; cap: number },
): void {
  const { name, view, cap } = options;
  const mine = own.grants[view.holder] ?? 0;
  const wanted = view.draining
    ? 0
    : Math.min(computeWanted(team, view, options), cap);
  const fromDomain = Math.max(
    0,
    (team.grants[view.domain] ?? 0) - sumGrants(own),
  );
  const fromFleet = Math.max(0, team.limit - sumGrants(team));
  const room = sumGrants(team) > team.limit ? 0 : fromDomain + fromFleet;
  const taken = Math.min(Math.max(0, wanted - mine), room);
  setPart(team.grants, view.domain, {
    value: (team.grants[view.domain] ?? 0) + Math.max(0, taken - fromDomain),
  });
  setPart(own.grants, view.holder, { value: mine + taken });
  const { usage, waiting } = findDemand(name, view);
  const lacking = view.draining ? 0 : usage + waiting - mine - taken;
  setPart(own.wants, view.holder, { value: Math.max(0, lacking) });
  setPart(team.wants, view.domain, { value: sumParts(own.wants) });
}

/** Gives unused parts back when other domains lack some or a limit fell. */
function returnToFleet(
  team: FleetBucket["teams"][string],
  own: TeamGrants,
  view: LimitsView,
): void {
  const granted = team.grants[view.domain] ?? 0;
  const isOver = sumGrants(team) > team.limit;
  if (!isOver && !hasOtherWants(team.wants, view.domain)) return;
  setPart(team.grants, view.domain, {
    value: Math.min(granted, sumGrants(own)),
  });
}

function computeWanted(
  team: FleetBucket["teams"][string],
  view: LimitsView,
  options: { name: string },
): number {
  const { usage, waiting } = findDemand(options.name, view);
  const entries = view.domains.length * view.holders.length;
  const resting = Math.floor(team.limit / Math.max(1, entries));
  return Math.max(usage + waiting, resting);
}

/**
 * The most that this entry takes while others lack some: the level at which
 * all needs, cut off there, add up to what there is; infinity if all are met.
 */
function computeCap(
  team: FleetBucket["teams"][string],
  own: TeamGrants,
  options: { name: string; view: LimitsView },
): number {
  const { name, view } = options;
  const granted = team.grants[view.domain] ?? 0;
  const sum = sumGrants(team);
  const room = granted + Math.max(0, team.limit - sum);
  const domainLevel = hasOtherWants(team.wants, view.domain)
    ? computeFairLevel(listNeeds(team), team.limit)
    : Infinity;
  const { usage, waiting } = findDemand(name, view);
  const needs = { ...listNeeds(own), [view.holder]: usage + waiting };
  const cap = computeFairLevel(needs, Math.min(room, domainLevel));
  if (sum <= team.limit) return cap;
  const mine = own.grants[view.holder] ?? 0;
  return Math.min(cap, Math.floor(mine * team.limit / sum));
}

function listNeeds(team: TeamGrants): Record<string, number> {
  const needs = { ...team.grants };
  for (const [holder, wanted] of Object.entries(team.wants)) {
    needs[holder] = (needs[holder] ?? 0) + wanted;
  }
  return needs;
}

/** Max-min fairness: small needs are met, the others get the same. */
function computeFairLevel(
  needs: Record<string, number>,
  total: number,
): number {
  const sorted = Object.values(needs).sort((a, b) => a - b);
  let left = total;
  for (const [index, need] of sorted.entries()) {
    const part = left / (sorted.length - index);
    if (need > part) return Math.ceil(part);
    left -= need;
  }
  return Infinity;
}

function isContended(
  team: FleetBucket["teams"][string],
  own: TeamGrants,
  view: LimitsView,
): boolean {
  return sumGrants(team) > team.limit ||
    hasOtherWants(own.wants, view.holder) ||
    hasOtherWants(team.wants, view.domain);
}

function hasOtherWants(
  wants: Record<string, number>,
  self: string,
): boolean {
  return Object.entries(wants).some(([name, part]) =>
    name !== self && part > 0
  );
}

function findDemand(
  name: string,
  view: LimitsView,
): { usage: number; waiting: number } {
  return view.demand.get(name) ?? { usage: 0, waiting: 0 };
}

function setPart(
  parts: Record<string, number>,
  holder: string,
  options: { value: number },
): void {
  const { value } = options;
  if (value === 0) delete parts[holder];
  else parts[holder] = value;
}

function sumParts(parts: Record<string, number>): number {
  return Object.values(parts).reduce((sum, part) => sum + part, 0);
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

function isSame(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
