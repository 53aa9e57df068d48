import { SHARDS_PER_DOMAIN } from "./constants.ts";
import {
  listOwnedShards,
  selectShardsToClaim,
  selectShardsToRelease,
  selectSuccessor,
} from "./shards.ts";
import type {
  DomainRecord,
  MembershipPlan,
  MembershipView,
  ShardRecord,
  TaskCounts,
} from "./types.ts";

/** Returns the record of a failure domain without members. */
export function createDomainRecord(now: number): DomainRecord {
  const shards = Array.from(
    { length: SHARDS_PER_DOMAIN },
    (): ShardRecord => ({
      owner: null,
      epoch: 0,
      transfer: null,
      predecessors: {},
    }),
  );
  return { epoch: 0, writer: "", createdAt: now, members: {}, shards };
}

/** Returns whether this entry has joined and is no longer in the record. */
export function isExpelled(
  record: DomainRecord,
  view: MembershipView,
): boolean {
  if (!view.hasJoined) return false;
  const member = record.members[view.self.vm];
  return member?.incarnation !== view.self.incarnation;
}

/**
 * Plans this entry's changes of the domain record; returns undefined if there
 * are none. The plan is written by compare-and-swap, so a stale plan has no
 * effect.
 */
export function planMembership(
  current: DomainRecord,
  view: MembershipView,
  options: { writer: string },
): MembershipPlan | undefined {
  if (isExpelled(current, view)) return undefined;
  const plan = createMembershipPlan(current, options.writer);
  joinDomain(plan, view);
  removeGoneMembers(plan, view);
  recordRecovered(plan, view);
  if (!view.draining) claimShards(plan, view);
  releaseShards(plan, view);
  removeSelf(plan, view);
  return hasChanges(plan) ? plan : undefined;
}

/** Returns a plan that writes the unchanged record under a new epoch. */
export function createMembershipPlan(
  current: DomainRecord,
  writer: string,
): MembershipPlan {
  const record = structuredClone(current);
  record.epoch += 1;
  record.writer = writer;
  return {
    record,
    joined: false,
    left: false,
    removedMembers: [],
    claimed: [],
    released: [],
    recovered: [],
  };
}

function hasChanges(plan: MembershipPlan): boolean {
  const lists = [
    plan.removedMembers,
    plan.claimed,
    plan.released,
    plan.recovered,
  ];
  return plan.joined || plan.left || lists.some((list) => list.length > 0);
}

/**
 * Adds this entry as a member. The new member replaces an earlier one on the
 * same VM, whose process has ended, and the earlier member's shard ownership is
 * cleared. An entry that drains before it has joined only removes the earlier
 * member, because no other entry can detect that the earlier process has ended.
 */
function joinDomain(plan: MembershipPlan, view: MembershipView): void {
  if (view.hasJoined) return;
  const earlierMember = plan.record.members[view.self.vm];
  if (earlierMember) removeMember(plan, earlierMember.incarnation);
  if (view.draining) {
    delete plan.record.members[view.self.vm];
    plan.left = true;
    return;
  }
  plan.record.members[view.self.vm] = view.self;
  plan.joined = true;
}

function removeGoneMembers(plan: MembershipPlan, view: MembershipView): void {
  for (const member of Object.values(plan.record.members)) {
    if (member.vm === view.self.vm) continue;
    if (!view.gone.has(member.incarnation)) continue;
    delete plan.record.members[member.vm];
    removeMember(plan, member.incarnation);
  }
}

/**
 * Clears a removed member's shard ownership and marks its tasks there as
 * unknown. The caller changes the list of members.
 */
function removeMember(plan: MembershipPlan, incarnation: string): void {
  plan.removedMembers.push(incarnation);
  for (const shard of plan.record.shards) {
    if (shard.owner !== incarnation) continue;
    changeOwner(shard, null);
    shard.predecessors[incarnation] = null;
  }
}

/** Updates the predecessors' running tasks on own shards. */
function recordRecovered(plan: MembershipPlan, view: MembershipView): void {
  for (const [index, counts] of view.recovered) {
    const shard = plan.record.shards[index];
    if (shard.owner !== view.self.incarnation) continue;
    if (updatePredecessors(shard, counts)) plan.recovered.push(index);
  }
}

/**
 * Replaces the counts of each predecessor and removes those without tasks.
 * Returns whether the record changed.
 */
function updatePredecessors(
  shard: ShardRecord,
  counts: Record<string, TaskCounts>,
): boolean {
  let changed = false;
  for (
    const [incarnation, recordedCounts] of Object.entries(shard.predecessors)
  ) {
    const running = counts[incarnation] ?? {};
    if (Object.keys(running).length === 0) {
      delete shard.predecessors[incarnation];
      changed = true;
      continue;
    }
    if (recordedCounts !== null && hasSameCounts(recordedCounts, running)) {
      continue;
    }
    shard.predecessors[incarnation] = running;
    changed = true;
  }
  return changed;
}

function claimShards(plan: MembershipPlan, view: MembershipView): void {
  for (const index of selectShardsToClaim(plan.record, view)) {
    changeOwner(plan.record.shards[index], view.self.incarnation);
    plan.claimed.push(index);
  }
}

/**
 * Hands over those of the selected shards that have no start or reservation in
 * flight.
 */
function releaseShards(plan: MembershipPlan, view: MembershipView): void {
  for (const index of selectShardsToRelease(plan.record, view)) {
    const running = view.quiesced.get(index);
    if (!running) continue;
    const shard = plan.record.shards[index];
    changeOwner(shard, selectSuccessor(plan.record, view) ?? null);
    if (Object.keys(running).length > 0) {
      shard.predecessors[view.self.incarnation] = running;
    }
    plan.released.push(index);
  }
}

function changeOwner(shard: ShardRecord, owner: string | null): void {
  shard.owner = owner;
  shard.epoch += 1;
  shard.transfer = null;
}

/** Ends the membership of a drained entry that owns no shards. */
function removeSelf(plan: MembershipPlan, view: MembershipView): void {
  if (!view.draining || !view.hasJoined || !view.idle) return;
  const owned = listOwnedShards(plan.record, view.self.incarnation);
  if (owned.length > 0) return;
  delete plan.record.members[view.self.vm];
  plan.left = true;
}

function hasSameCounts(a: TaskCounts, b: TaskCounts): boolean {
  const keys = Object.keys(a);
  return keys.length === Object.keys(b).length &&
    keys.every((key) => a[key] === b[key]);
}
