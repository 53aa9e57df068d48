import { computeBucket } from "../base/mod.ts";
import { REBALANCE_SLACK, SHARDS_PER_DOMAIN } from "./constants.ts";
import type { DomainRecord, MembershipView } from "./types.ts";

/** Returns the shard of an endpoint. */
export function findShard(endpoint: string): number {
  return computeBucket(endpoint, SHARDS_PER_DOMAIN);
}

/** Lists the shards that an incarnation owns. */
export function listOwnedShards(
  record: DomainRecord | undefined,
  incarnation: string,
): number[] {
  const shards = record?.shards ?? [];
  return shards.flatMap((shard, index) =>
    shard.owner === incarnation ? [index] : []
  );
}

/** Returns the number of endpoints that each entry should own, rounded up. */
export function computeFairShare(
  record: DomainRecord,
  view: MembershipView,
): number {
  const total = view.shardSizes.reduce((sum, size) => sum + size, 0);
  return Math.ceil(total / countActiveMembers(record, view));
}

/** Returns the number of endpoints that an incarnation owns. */
export function countOwnedEndpoints(
  record: DomainRecord,
  incarnation: string,
  options: { shardSizes: readonly number[] },
): number {
  return listOwnedShards(record, incarnation)
    .reduce((sum, shard) => sum + options.shardSizes[shard], 0);
}

/**
 * Selects unowned shards to claim, up to this entry's fair share of endpoints.
 * Shards without endpoints are always claimed, and an entry without endpoints
 * may exceed its fair share by its first shard.
 */
export function selectShardsToClaim(
  record: DomainRecord,
  view: MembershipView,
): number[] {
  const fairShare = computeFairShare(record, view);
  const { shardSizes, self } = view;
  let load = countOwnedEndpoints(record, self.incarnation, view);
  const claimed: number[] = [];
  for (const shard of listUnownedShards(record)) {
    const size = shardSizes[shard];
    if (size > 0 && load + size > fairShare && load > 0) continue;
    claimed.push(shard);
    load += size;
  }
  return claimed;
}

/**
 * Selects own shards to hand over. During a drain, these are all own shards
 * once another entry is reachable or no request is in flight. Otherwise, they
 * are those above this entry's fair share while another entry is below its own.
 */
export function selectShardsToRelease(
  record: DomainRecord,
  view: MembershipView,
): number[] {
  const { self, shardSizes } = view;
  const owned = listOwnedShards(record, self.incarnation);
  if (view.draining) return view.reachable.size > 0 || view.idle ? owned : [];
  const fairShare = computeFairShare(record, view);
  if (!hasMemberBelowFairShare(record, view)) return [];
  let load = countOwnedEndpoints(record, self.incarnation, view);
  const released: number[] = [];
  for (const shard of owned) {
    const size = shardSizes[shard];
    if (size === 0 || load - size < fairShare - REBALANCE_SLACK) continue;
    if (load <= fairShare) break;
    released.push(shard);
    load -= size;
  }
  return released;
}

/** Selects the reachable member with the fewest endpoints. */
export function selectSuccessor(
  record: DomainRecord,
  view: MembershipView,
): string | undefined {
  const loads = Object.values(record.members)
    .map(({ incarnation }) => incarnation)
    .filter((incarnation) => view.reachable.has(incarnation))
    .map((incarnation) => ({
      incarnation,
      load: countOwnedEndpoints(record, incarnation, view),
    }));
  loads.sort((a, b) => a.load - b.load);
  return loads[0]?.incarnation;
}

function listUnownedShards(record: DomainRecord): number[] {
  return record.shards.flatMap((shard, index) =>
    shard.owner === null ? [index] : []
  );
}

/** Counts reachable members, and this entry unless it drains; at least 1. */
function countActiveMembers(
  record: DomainRecord,
  view: MembershipView,
): number {
  const reachableMembers = Object.values(record.members).filter((member) =>
    view.reachable.has(member.incarnation)
  );
  return Math.max(1, reachableMembers.length + (view.draining ? 0 : 1));
}

function hasMemberBelowFairShare(
  record: DomainRecord,
  view: MembershipView,
): boolean {
  const fairShare = computeFairShare(record, view);
  return Object.values(record.members).some((member) => {
    if (!view.reachable.has(member.incarnation)) return false;
    const { incarnation } = member;
    const load = countOwnedEndpoints(record, incarnation, view);
    return load < fairShare - REBALANCE_SLACK + 1;
  });
}
