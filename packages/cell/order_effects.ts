import {
  CLOCK_DRIFT,
  LATE_ORDER_MS,
  LEASE_MARGIN_MS,
  MAX_LEASE_MS,
  START_HISTORY_MS,
} from "./constants.ts";
import { isOfListedLifetime } from "./listing_proof.ts";
import type { Endpoint, Run } from "./types.ts";

/**
 * Longest time for which a run goes on after an order with any lease was carried
 * out, by the owner's clock, in milliseconds.
 */
export const MAX_GRANTED_LEASE_MS = MAX_LEASE_MS * (1 + CLOCK_DRIFT) +
  LEASE_MARGIN_MS;

/**
 * Extends `leaseEndsAt` of an endpoint to cover the lease granted by an order
 * that is sent now. The endpoint's clock may have fallen behind the estimate since
 * the last listing, so that the lease ends later than ordered.
 */
export function noteLeaseSent(
  endpoint: Endpoint,
  options: { now: number; leaseMs: number },
): void {
  raiseLeaseEnd(endpoint, options.now + computeLongestLease(endpoint, options));
}

/** Computes how long the lease of an order sent now lasts at most, in milliseconds. */
function computeLongestLease(
  { lastListingAskedAt }: Endpoint,
  { now, leaseMs }: { now: number; leaseMs: number },
): number {
  const estimateAgeMs = lastListingAskedAt > 0 ? now - lastListingAskedAt : 0;
  const maxLeaseMs = (leaseMs + estimateAgeMs * CLOCK_DRIFT) *
      (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
  return Math.min(maxLeaseMs, MAX_GRANTED_LEASE_MS);
}

/** Notes that a start order is sent now: the lease, and how late it may arrive. */
export function noteStartSent(
  run: Run,
  options: {
    now: number;
    leaseMs: number;
    ticketEndsAt: number;
    fence: number;
  },
): void {
  const { now, ticketEndsAt, fence } = options;
  noteLeaseSent(run.endpoint, options);
  run.sentFence = Math.max(run.sentFence, fence);
  run.sentToBornAt = run.endpoint.bornAt;
  run.sentAt = now;
  noteStartTime(run.endpoint, now);
  if (run.gangStart) run.gangStart.firstSentAt ??= now;
  run.startMayArriveUntil = Math.min(
    now + LATE_ORDER_MS,
    ticketEndsAt + LEASE_MARGIN_MS,
  );
  run.startSettledAt = run.startMayArriveUntil;
}

function noteStartTime({ recentStarts }: Endpoint, now: number): void {
  while (now - recentStarts[0] >= START_HISTORY_MS) recentStarts.shift();
  recentStarts.push(now);
}

/**
 * Notes that an order with a lease got no answer. `bornAt`: the endpoint's lifetime
 * when the order was sent. It may be carried out late, and its lease count from the
 * arrival: it extends leases that have not ended by then. Any other lifetime grants
 * the longest lease: one found meanwhile, or one that is not listed yet.
 */
export function noteLeaseUnanswered(
  endpoint: Endpoint,
  { bornAt, now, leaseMs }: { bornAt: number; now: number; leaseMs: number },
): void {
  endpoint.unansweredLeaseAt = Math.max(endpoint.unansweredLeaseAt, now);
  const latestEndsAt = now + LATE_ORDER_MS + MAX_GRANTED_LEASE_MS;
  for (const run of endpoint.runs.values()) {
    if (run.isLifetimeKnown || run.unlistedLeaseEndsAt === 0) continue;
    const endsAt = run.unlistedLeaseEndsAt + MAX_GRANTED_LEASE_MS;
    run.unlistedLeaseEndsAt = Math.min(endsAt, latestEndsAt);
  }
  const extendedEndsAt = endpoint.leaseEndsAt +
    computeLongestLease(endpoint, { now, leaseMs });
  raiseLeaseEnd(
    endpoint,
    bornAt === endpoint.bornAt
      ? Math.min(extendedEndsAt, latestEndsAt)
      : latestEndsAt,
  );
}

/**
 * Extends `leaseEndsAt` when a new lifetime of the endpoint is found. Orders that
 * name times on the former lifetime's clock may get the longest lease that the endpoint
 * grants: the poll that found the lifetime, and unanswered orders that may still arrive.
 */
export function noteNewLifetime(
  endpoint: Endpoint,
  now: number,
): void {
  raiseLeaseEnd(endpoint, computeLatestLeaseEnd(endpoint, now));
}

/**
 * Computes by when every lease has ended that another lifetime than the listed one was
 * given, or will be given by unanswered orders that may still arrive.
 */
function computeLatestLeaseEnd(
  { unansweredLeaseAt }: Endpoint,
  now: number,
): number {
  const lastArrivalAt = Math.max(now, unansweredLeaseAt + LATE_ORDER_MS);
  return lastArrivalAt + MAX_GRANTED_LEASE_MS;
}

/**
 * Notes that a start order was carried out. The answer does not tell by which lifetime;
 * one that has not been listed yet may have granted its longest lease.
 */
export function noteStartCarriedOut(run: Run, now: number): void {
  run.startMayArriveUntil = 0;
  run.startSettledAt = now;
  run.unlistedLeaseEndsAt = computeLatestLeaseEnd(run.endpoint, now);
}

/**
 * Returns by when a run has certainly ended although its endpoint can't be reached,
 * on the owner's steady clock.
 */
export function findRunEnd(run: Run): number {
  const { endpoint, isLifetimeKnown, startMayArriveUntil } = run;
  if (isLifetimeKnown) return endpoint.leaseEndsAt;
  const lateStartEndsAt = startMayArriveUntil === 0
    ? 0
    : startMayArriveUntil + MAX_GRANTED_LEASE_MS;
  return Math.max(
    endpoint.leaseEndsAt,
    run.unlistedLeaseEndsAt,
    lateStartEndsAt,
  );
}

/**
 * Returns whether a start that was sent may have reached a lifetime of the endpoint
 * which has not been listed yet.
 */
export function hasStartInDoubt(endpoint: Endpoint): boolean {
  return [...endpoint.runs.values()].some((run) =>
    run.sentToBornAt > 0 && !run.isLifetimeKnown && !isOfListedLifetime(run)
  );
}

/** Describes how long ago an order was sent, in ms, for the log; undefined: never. */
export function describeAge(sentAt: number, now: number): number | undefined {
  return Number.isFinite(sentAt) ? Math.round(now - sentAt) : undefined;
}

/**
 * Returns whether the start order of a run may still be carried out at `now`
 * although the endpoint has answered since: later, or by a later lifetime, which
 * knows of no stop and no fencing token. A ticket is bound to one lifetime, where a
 * stop prevents the start.
 */
export function mayStartLater(run: Run, now: number): boolean {
  return !run.hasTicket && now < run.startMayArriveUntil;
}

function raiseLeaseEnd(endpoint: Endpoint, endsAt: number): void {
  endpoint.leaseEndsAt = Math.max(endpoint.leaseEndsAt, endsAt);
}
