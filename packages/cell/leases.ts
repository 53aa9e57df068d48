import {
  CLOCK_DRIFT,
  LATE_ORDER_MS,
  LEASE_MARGIN_MS,
  MAX_LEASE_MS,
  MIN_FRESH_LEASE_MS,
  SHORT_LEASE_MS,
  TICKETED_LEASE_MS,
} from "./constants.ts";
import type { Endpoint, EndpointLeases, LeaseOrder } from "./types.ts";

/** Longest lease that an endpoint grants, on the owner's clock, in milliseconds. */
const MAX_LEASE_BY_OWNER_MS = MAX_LEASE_MS * (1 + CLOCK_DRIFT);

/**
 * Longest time for which a run goes on after an order with any lease was carried
 * out, by the owner's clock, in milliseconds.
 */
export const MAX_GRANTED_LEASE_MS = MAX_LEASE_BY_OWNER_MS + LEASE_MARGIN_MS;

/** What became of an order with a lease. */
export enum LeaseOutcome {
  /** It was carried out in time. */
  Granted = "granted",
  /** It had no effect and can't have any. */
  Refused = "refused",
  /** It got no answer: it may be carried out late, or never. */
  Unanswered = "unanswered",
}

/** Makes the leases of an endpoint to which nothing has been sent. */
export function makeLeases(): EndpointLeases {
  return {
    grantedUntil: 0,
    reservedUntil: 0,
    unlistedUntil: 0,
    renewedAt: Number.NEGATIVE_INFINITY,
    orders: new Set(),
  };
}

/**
 * Notes that an order with a lease is sent now, in milliseconds. `latestArrivalAt`: when
 * it may be carried out at the latest.
 */
export function beginLeaseOrder(
  endpoint: Endpoint,
  { now, leaseMs, fence, latestArrivalAt = now + LATE_ORDER_MS }: {
    now: number;
    leaseMs: number;
    fence: number;
    latestArrivalAt?: number;
  },
): LeaseOrder {
  const order: LeaseOrder = {
    sentAt: now,
    bornAt: endpoint.bornAt,
    fence,
    namedMs: leaseMs,
    leaseMs: computeLongestLease(endpoint, { now, leaseMs }),
    latestArrivalAt,
    fencedOffAt: Number.POSITIVE_INFINITY,
  };
  endpoint.leases.orders.add(order);
  endpoint.leases.end = undefined;
  return order;
}

/**
 * Settles an order with a lease, whose answer is known at `now`. One that named a time
 * on the clock of another lifetime than the present one may grant the longest lease.
 */
export function settleLeaseOrder(
  endpoint: Endpoint,
  order: LeaseOrder,
  { outcome, now }: { outcome: LeaseOutcome; now: number },
): void {
  const { leases } = endpoint;
  leases.end = undefined;
  const isOtherLifetime = order.bornAt !== endpoint.bornAt;
  if (outcome === LeaseOutcome.Unanswered) {
    endpoint.unansweredLeaseAt = Math.max(
      endpoint.unansweredLeaseAt,
      order.sentAt,
    );
    if (!isOtherLifetime) return dropSettledOrders(leases, now);
    raiseGrantedLease(leases, order.latestArrivalAt + MAX_LEASE_BY_OWNER_MS);
  }
  leases.orders.delete(order);
  if (outcome !== LeaseOutcome.Granted) return;
  if (isOtherLifetime) {
    return raiseGrantedLease(leases, now + MAX_LEASE_BY_OWNER_MS);
  }
  raiseGrantedLease(leases, order.sentAt + order.leaseMs);
  if (!isRenewal(order)) return;
  leases.renewedAt = Math.max(leases.renewedAt, order.sentAt);
}

/**
 * Notes that the present lifetime of an endpoint has accepted a fencing token: it "does
 * nothing for a lower value" (PROTOCOL.md, Running tasks), so that orders with lower ones
 * have arrived by now or have no effect there.
 */
export function noteOrdersFencedOff(
  { leases }: Endpoint,
  { token, now }: { token: number; now: number },
): void {
  for (const order of leases.orders) {
    if (order.fence >= token || order.fencedOffAt <= now) continue;
    order.fencedOffAt = now;
    leases.end = undefined;
  }
}

/** Extends the leases of an endpoint by one that was, or may have been, granted now. */
export function noteLeaseGranted(
  endpoint: Endpoint,
  options: { now: number; leaseMs: number },
): void {
  const leaseMs = computeLongestLease(endpoint, options);
  raiseGrantedLease(endpoint.leases, options.now + leaseMs);
}

/**
 * Keeps the leases of an endpoint from counting as ended before a start that is planned
 * now has been sent.
 */
export function reserveLease(
  { leases }: Endpoint,
  { now, leaseMs }: { now: number; leaseMs: number },
): void {
  leases.reservedUntil = Math.max(leases.reservedUntil, now + leaseMs);
  leases.end = undefined;
}

/**
 * Extends the leases when a new lifetime of the endpoint is found. Orders that
 * name times on the former lifetime's clock may get the longest lease that the endpoint
 * grants: the poll that found the lifetime, and unanswered orders that may still arrive.
 */
export function noteNewLifetime(endpoint: Endpoint, now: number): void {
  const { leases } = endpoint;
  const lastArrivalAt = findLastArrival(endpoint, now);
  raiseGrantedLease(leases, lastArrivalAt + MAX_LEASE_BY_OWNER_MS);
  leases.renewedAt = Number.NEGATIVE_INFINITY;
}

/**
 * Notes that a lifetime which may not have been listed yet has granted a lease, by an
 * order whose answer arrived now; returns when it has certainly ended.
 */
export function noteUnlistedLease(endpoint: Endpoint, now: number): number {
  const { leases } = endpoint;
  const endsAt = findLastArrival(endpoint, now) + MAX_GRANTED_LEASE_MS;
  leases.unlistedUntil = Math.max(leases.unlistedUntil, endsAt);
  return endsAt;
}

/**
 * Returns by when every lease given to the listed lifetime of an endpoint has certainly
 * ended; 0: none was given.
 */
export function findLeaseEnd(endpoint: Endpoint): number {
  const { bornAt, leases } = endpoint;
  // Each plan asks for all endpoints; few leases change between two plans.
  if (leases.end?.bornAt !== bornAt) {
    leases.end = { bornAt, at: computeLeaseEnd(leases, bornAt) };
  }
  return leases.end.at;
}

/**
 * Returns by when a lease has certainly ended that a lifetime which has not been listed
 * yet had until `endsAt`. It knows no fencing token, and orders that name a time on
 * another clock may grant the longest lease.
 */
export function findUnlistedLeaseEnd(
  { leases }: Endpoint,
  endsAt: number,
): number {
  const orders = [...leases.orders].map((order) => ({
    ...order,
    leaseMs: MAX_LEASE_BY_OWNER_MS,
  }));
  return computeLatestEnd(Math.max(endsAt, leases.unlistedUntil), orders);
}

/** Returns whether the leases of an endpoint outlast a start with a short lease by far. */
function hasFreshLease(
  { leases }: Endpoint,
  { now, leaseMs }: { now: number; leaseMs: number },
): boolean {
  return now - leases.renewedAt <= leaseMs - MIN_FRESH_LEASE_MS;
}

/**
 * Chooses the lease of a start, in milliseconds. A lease "applies to everything that runs"
 * on the endpoint and "never shortens" (PROTOCOL.md, Running tasks): beside leases that
 * were renewed a moment ago a start needs none of its own. The less it names, the less it
 * extends the leases of an endpoint that does not answer, if it is carried out late.
 */
export function chooseStartLease(
  endpoint: Endpoint,
  { now, leaseMs, hasTicket }: {
    now: number;
    leaseMs: number;
    hasTicket: boolean;
  },
): number {
  if (!hasFreshLease(endpoint, { now, leaseMs })) return leaseMs;
  return hasTicket ? TICKETED_LEASE_MS : SHORT_LEASE_MS;
}

function computeLeaseEnd(
  { grantedUntil, reservedUntil, orders }: EndpointLeases,
  lifetime: number,
): number {
  const pending = [...orders]
    .filter(({ bornAt }) => bornAt === lifetime)
    .map((order) => ({
      ...order,
      latestArrivalAt: Math.min(order.latestArrivalAt, order.fencedOffAt),
    }));
  const endsAt = computeLatestEnd(grantedUntil, pending);
  return endsAt === 0
    ? reservedUntil
    : Math.max(reservedUntil, endsAt + LEASE_MARGIN_MS);
}

/**
 * Computes the latest end of a lease that unanswered orders extend. Each is carried out at
 * most once, and may count its lease from its arrival (docs/QUESTIONS.md). It extends only
 * a lease that has not ended by then: "When the lease expires, everything is killed"
 * (PROTOCOL.md, Running tasks). The end is the latest possible if the orders arrive in the
 * order of their latest arrivals, each as late as it can.
 */
function computeLatestEnd(
  endsAt: number,
  orders: readonly LeaseOrder[],
): number {
  const sorted = [...orders].sort((a, b) =>
    a.latestArrivalAt - b.latestArrivalAt
  );
  let latestEnd = endsAt;
  for (const { sentAt, latestArrivalAt, leaseMs } of sorted) {
    const arrivalAt = Math.max(sentAt, Math.min(latestEnd, latestArrivalAt));
    latestEnd = Math.max(latestEnd, arrivalAt + leaseMs);
  }
  return latestEnd;
}

/** Returns whether an order names a whole lease, and not one beside a fresh lease. */
function isRenewal({ namedMs }: LeaseOrder): boolean {
  return namedMs > TICKETED_LEASE_MS;
}

/** Drops the orders whose leases have ended, however late they were carried out. */
function dropSettledOrders({ orders }: EndpointLeases, now: number): void {
  for (const order of orders) {
    const endsAt = order.latestArrivalAt + MAX_GRANTED_LEASE_MS;
    if (endsAt < now) orders.delete(order);
  }
}

/**
 * Computes how long the lease of an order sent now lasts at most, by the owner's clock in
 * milliseconds. The endpoint's clock may have fallen behind the estimate since the last
 * listing, so that the lease ends later than ordered.
 */
function computeLongestLease(
  { lastListingAskedAt }: Endpoint,
  { now, leaseMs }: { now: number; leaseMs: number },
): number {
  const estimateAgeMs = lastListingAskedAt > 0 ? now - lastListingAskedAt : 0;
  const longestMs = (leaseMs + estimateAgeMs * CLOCK_DRIFT) * (1 + CLOCK_DRIFT);
  return Math.min(longestMs, MAX_LEASE_BY_OWNER_MS);
}

/** Finds by when every unanswered order with a lease has been carried out, if ever. */
function findLastArrival(
  { unansweredLeaseAt }: Endpoint,
  now: number,
): number {
  return Math.max(now, unansweredLeaseAt + LATE_ORDER_MS);
}

function raiseGrantedLease(leases: EndpointLeases, endsAt: number): void {
  leases.grantedUntil = Math.max(leases.grantedUntil, endsAt);
  leases.end = undefined;
}
