import type { Random, Size } from "../base/mod.ts";
import type { OwnerCandidate, OwnerRequest } from "./types.ts";

/**
 * Chooses the owner for a task: this entry, then its failure domain, then
 * other domains, as long as there is room; with no room anywhere, the shorter
 * of two queues. Two random candidates are compared, so that entries with the
 * same stale loads do not all pick the same owner.
 */
export function chooseOwner(
  candidates: readonly OwnerCandidate[],
  request: OwnerRequest,
  options: { domain: string; random: Random },
): OwnerCandidate | undefined {
  const eligible = candidates.filter((owner) => isEligible(owner, request));
  const isLocal = (owner: OwnerCandidate) => owner.domain === options.domain;
  const local = eligible.filter(isLocal);
  const remote = eligible.filter((owner) => !isLocal(owner));
  const canStart = (owner: OwnerCandidate) => hasRoom(owner, request.team);
  const localRoom = local.filter(canStart);
  const self = localRoom.find((owner) => owner.isSelf);
  if (self) return self;
  const pick = (owners: OwnerCandidate[]) => pickOfTwo(owners, options.random);
  return pick(localRoom) ?? pick(remote.filter(canStart)) ?? pick(local) ??
    pick(remote);
}

function isEligible(owner: OwnerCandidate, request: OwnerRequest): boolean {
  if (owner.draining || request.excluded.has(owner.incarnation)) return false;
  return owner.load.endpoints > 0 && covers(owner.load.largest, request.size);
}

function covers(largest: Size, size: Size): boolean {
  return size.cores <= largest.cores && size.memoryMb <= largest.memoryMb &&
    size.accelerators <= largest.accelerators;
}

/** Work that waits for a grant leaves its slots to other teams. */
function hasRoom(owner: OwnerCandidate, team: string): boolean {
  return owner.load.freeSlots > 0 && !owner.load.blocked.includes(team);
}

function pickOfTwo(
  owners: OwnerCandidate[],
  random: Random,
): OwnerCandidate | undefined {
  if (owners.length === 0) return undefined;
  const first = owners[random.drawInt(owners.length)];
  const second = owners[random.drawInt(owners.length)];
  return measureFullness(second) < measureFullness(first) ? second : first;
}

function measureFullness(owner: OwnerCandidate): number {
  const { slots, freeSlots, waiting } = owner.load;
  return (slots - freeSlots + waiting) / Math.max(1, slots);
}
