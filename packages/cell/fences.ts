import type { Endpoint, EndpointFence } from "./types.ts";

/**
 * The fencing tokens of one owner, which rise while it owns the cell: first the revision
 * of its key, then those of its commits. Each is higher than all tokens of former owners
 * and lower than those of later ones, whose claims come after all its commits.
 */
export class OwnerFence {
  #newest: number;

  /** `revision`: store revision of the owner's key. */
  constructor(revision: number) {
    this.#newest = revision;
  }

  /** Store revision of the owner's key, or of its newest commit that is known. */
  get newest(): number {
    return this.#newest;
  }

  /** Notes the store revision of a commit that was conditional on the owner's key. */
  noteCommit(revision: number): void {
    this.#newest = Math.max(this.#newest, revision);
  }
}

/** Makes the fencing tokens of an endpoint to which nothing has been sent. */
export function makeEndpointFence(): EndpointFence {
  return { current: 0, accepted: 0, unanswered: 0, unansweredAck: 0 };
}

/**
 * Chooses the token for the orders to an endpoint from now on. It rises after an order
 * without an answer: once the endpoint has accepted the higher token, that order has no
 * effect any more, however late it arrives.
 */
export function raiseFence(
  { fence }: Endpoint,
  owner: Readonly<OwnerFence>,
): number {
  const isUnsettled = fence.current === 0 || fence.unanswered >= fence.current;
  if (isUnsettled) fence.current = Math.max(fence.current, owner.newest);
  return fence.current;
}

/** Returns the token that an order to an endpoint carries now. */
export function getFence(
  { fence }: Endpoint,
  owner: Readonly<OwnerFence>,
): number {
  if (fence.current === 0) fence.current = owner.newest;
  return fence.current;
}

/** Notes that an order with this token got no answer: it may be carried out later. */
export function noteFenceUnanswered({ fence }: Endpoint, token: number): void {
  fence.unanswered = Math.max(fence.unanswered, token);
}

/**
 * Notes that an acknowledgement of ends, sent at `now` with this token, got no answer. Of
 * two polls, the one that was sent later may fail first.
 */
export function noteAckUnanswered(
  endpoint: Endpoint,
  { now, token }: { now: number; token: number },
): void {
  const { fence } = endpoint;
  fence.unansweredAck = Math.max(fence.unansweredAck, token);
  endpoint.unansweredEndsAckAt = Math.max(endpoint.unansweredEndsAckAt, now);
}

/** Returns whether a refusal of this token is due to a higher one of the same owner. */
export function isSuperseded({ fence }: Endpoint, token: number): boolean {
  return token < fence.current;
}

/**
 * Returns whether an endpoint carries out no order with this token any more: its present
 * lifetime has accepted a higher one.
 */
export function isFencedOff({ fence }: Endpoint, token: number): boolean {
  return token > 0 && token < fence.accepted;
}

/** Notes that an endpoint has listed its runs in answer to a poll with this token. */
export function noteFenceAccepted(
  endpoint: Endpoint,
  { token, isOtherLifetime }: { token: number; isOtherLifetime: boolean },
): void {
  const { fence } = endpoint;
  fence.accepted = isOtherLifetime ? token : Math.max(fence.accepted, token);
  if (isFencedOff(endpoint, fence.unansweredAck)) endpoint.lateAckUntil = 0;
}

/**
 * Returns whether a poll with a higher token would end a pause: an acknowledgement
 * without an answer may still arrive, and the owner has a token that fences it off.
 */
export function canEndPause(
  { fence, lateAckUntil }: Endpoint,
  { owner, now }: { owner: Readonly<OwnerFence>; now: number },
): boolean {
  return now < lateAckUntil && owner.newest > fence.unansweredAck &&
    fence.accepted <= fence.unansweredAck;
}
