import {
  CLOCK_DRIFT,
  LATE_ORDER_MS,
  LEASE_MARGIN_MS,
  MAX_LEASE_MS,
} from "./constants.ts";
import { type Endpoint, type Run, RunPhase } from "./types.ts";

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
  options: { now: number; leaseMs: number; ticketEndsAt: number },
): void {
  const { now, ticketEndsAt } = options;
  noteLeaseSent(run.endpoint, options);
  run.sentToBornAt = run.endpoint.bornAt;
  run.sentAt = now;
  run.startMayArriveUntil = Math.min(
    now + LATE_ORDER_MS,
    ticketEndsAt + LEASE_MARGIN_MS,
  );
}

/**
 * Notes that an order with a lease got no answer. `bornAt`: the endpoint's lifetime
 * when the order was sent. It may be carried out late, and its lease count from the
 * arrival: it extends leases that have not ended by then. Any other lifetime grants
 * the longest lease: one found meanwhile, or one that is not listed yet and has runs.
 */
export function noteLeaseUnanswered(
  endpoint: Endpoint,
  { bornAt, now, leaseMs }: { bornAt: number; now: number; leaseMs: number },
): void {
  endpoint.unansweredLeaseAt = Math.max(endpoint.unansweredLeaseAt, now);
  const isOtherLifetime = bornAt !== endpoint.bornAt ||
    [...endpoint.runs.values()].some((run) =>
      !run.isLifetimeKnown && run.startMayArriveUntil === 0 &&
      run.phase !== RunPhase.Starting
    );
  const latestEndsAt = now + LATE_ORDER_MS + MAX_GRANTED_LEASE_MS;
  const extendedEndsAt = endpoint.leaseEndsAt +
    computeLongestLease(endpoint, { now, leaseMs });
  raiseLeaseEnd(
    endpoint,
    isOtherLifetime ? latestEndsAt : Math.min(extendedEndsAt, latestEndsAt),
  );
}

/**
 * Extends `leaseEndsAt` when a new lifetime of the endpoint is found. Orders that
 * name times on the former lifetime's clock, which was ahead, get the longest lease
 * that the endpoint grants: the poll that found the lifetime, and unanswered orders
 * that may still arrive.
 */
export function noteNewLifetime(
  endpoint: Endpoint,
  now: number,
): void {
  const lastArrivalAt = Math.max(
    now,
    endpoint.unansweredLeaseAt + LATE_ORDER_MS,
  );
  raiseLeaseEnd(endpoint, lastArrivalAt + MAX_GRANTED_LEASE_MS);
}

/**
 * Notes that a start order was carried out. `clockMs`: the endpoint's clock in its
 * answer. While the lifetime that carried it out is not known, its lease may be the
 * longest that the endpoint grants.
 */
export function noteStartCarriedOut(
  run: Run,
  options: { clockMs: number | undefined; now: number },
): void {
  run.startMayArriveUntil = 0;
  if (run.isLifetimeKnown) return;
  run.isLifetimeKnown = matchesLifetime(run.endpoint, options);
  if (run.isLifetimeKnown) return;
  raiseLeaseEnd(run.endpoint, options.now + MAX_GRANTED_LEASE_MS);
}

/**
 * Returns by when a run has certainly ended although its endpoint can't be reached,
 * on the owner's steady clock.
 */
export function findRunEnd(run: Run): number {
  const { leaseEndsAt } = run.endpoint;
  if (run.startMayArriveUntil === 0) return leaseEndsAt;
  return Math.max(leaseEndsAt, run.startMayArriveUntil + MAX_GRANTED_LEASE_MS);
}

/**
 * Returns whether a start that was sent may have reached a lifetime of the endpoint
 * which has not been listed yet.
 */
export function hasStartInDoubt(endpoint: Endpoint): boolean {
  return [...endpoint.runs.values()].some((run) =>
    run.sentToBornAt > 0 && !run.isLifetimeKnown
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

/**
 * Returns whether an answer comes from the lifetime of the newest listing. The clock
 * of a lifetime that began after the listing can't be ahead of the time since then;
 * that of the same lifetime has advanced by about this time.
 */
function matchesLifetime(
  endpoint: Endpoint,
  { clockMs, now }: { clockMs: number | undefined; now: number },
): boolean {
  if (clockMs === undefined || endpoint.lastListingAskedAt === 0) return false;
  const longestMs = (now - endpoint.lastListingAskedAt) * (1 + CLOCK_DRIFT) +
    LEASE_MARGIN_MS;
  return clockMs > longestMs && clockMs >= endpoint.lastListingClock &&
    clockMs <= endpoint.lastListingClock + longestMs;
}

function raiseLeaseEnd(endpoint: Endpoint, endsAt: number): void {
  endpoint.leaseEndsAt = Math.max(endpoint.leaseEndsAt, endsAt);
}
