import { match, P } from "ts-pattern";
import {
  LATE_ORDER_MS,
  LEASE_MARGIN_MS,
  START_HISTORY_MS,
} from "./constants.ts";
import {
  beginLeaseOrder,
  findLeaseEnd,
  findUnlistedLeaseEnd,
  LeaseOutcome,
  MAX_GRANTED_LEASE_MS,
  noteUnlistedLease,
  settleLeaseOrder,
} from "./leases.ts";
import { isOfListedLifetime } from "./listing_proof.ts";
import { type Endpoint, type Run, StartResult } from "./types.ts";

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
  const { now, leaseMs, ticketEndsAt, fence } = options;
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
  run.leaseOrder = beginLeaseOrder(run.endpoint, {
    now,
    leaseMs,
    fence,
    latestArrivalAt: run.startMayArriveUntil,
  });
}

function noteStartTime({ recentStarts }: Endpoint, now: number): void {
  while (now - recentStarts[0] >= START_HISTORY_MS) recentStarts.shift();
  recentStarts.push(now);
}

/**
 * Settles the lease of a start order. The lease is also taken "from a start that receives
 * `old` or `room`", and from no other that was refused.
 */
export function settleStartLease(
  run: Run,
  { result, now }: { result: StartResult; now: number },
): void {
  const { endpoint, leaseOrder } = run;
  if (!leaseOrder) return;
  run.leaseOrder = undefined;
  const outcome = match(result)
    .with(
      P.union(StartResult.Started, StartResult.OldRun, StartResult.NoRoom),
      () => LeaseOutcome.Granted,
    )
    .with(StartResult.Unknown, () => LeaseOutcome.Unanswered)
    .otherwise(() => LeaseOutcome.Refused);
  settleLeaseOrder(endpoint, leaseOrder, { outcome, now });
}

/**
 * Notes that a start order was carried out. The answer does not tell by which lifetime;
 * one that has not been listed yet may have granted its longest lease.
 */
export function noteStartCarriedOut(run: Run, now: number): void {
  run.startMayArriveUntil = 0;
  run.startSettledAt = now;
  run.unlistedLeaseEndsAt = noteUnlistedLease(run.endpoint, now);
}

/**
 * Returns by when a run has certainly ended although its endpoint can't be reached,
 * on the owner's steady clock.
 */
export function findRunEnd(run: Run): number {
  const { endpoint, startMayArriveUntil, unlistedLeaseEndsAt } = run;
  const leaseEndsAt = findLeaseEnd(endpoint);
  if (run.isLifetimeKnown) return leaseEndsAt;
  const lateStartEndsAt = startMayArriveUntil === 0
    ? 0
    : startMayArriveUntil + MAX_GRANTED_LEASE_MS;
  const unlistedEndsAt = unlistedLeaseEndsAt === 0
    ? 0
    : findUnlistedLeaseEnd(endpoint, unlistedLeaseEndsAt);
  return Math.max(leaseEndsAt, unlistedEndsAt, lateStartEndsAt);
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
