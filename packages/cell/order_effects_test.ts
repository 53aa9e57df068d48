import test from "ava";
import { makeZeroDemand } from "../jobs/mod.ts";
import { CLOCK_DRIFT, LATE_ORDER_MS, MAX_LEASE_MS } from "./constants.ts";
import { makeEndpoint, updateEndpoints } from "./endpoints.ts";
import { applyListing } from "./listing.ts";
import {
  beginLeaseOrder,
  findLeaseEnd,
  LeaseOutcome,
  settleLeaseOrder,
} from "./leases.ts";
import { findRunEnd, noteStartCarriedOut } from "./order_effects.ts";
import { Cell } from "./cell.ts";
import { type EndpointInfo, ListingExtent, type Run } from "./types.ts";

const LEASE_MS = 4_000;

function makeInfo(overrides: Partial<EndpointInfo> = {}): EndpointInfo {
  return {
    id: "e0",
    address: "10.0.0.1:1",
    service: "desk",
    domain: "a",
    labels: [],
    rack: "",
    capacity: makeZeroDemand(),
    isDraining: false,
    bornAt: 0,
    ...overrides,
  };
}

// Guards against a task that is started elsewhere while it runs, because the clock of
// an endpoint without polls had fallen behind the owner's estimate of it.
test("the end of a lease covers the drift of the clock since the last listing", (t) => {
  const endpoint = makeEndpoint(makeInfo());
  endpoint.lastListingAskedAt = 1_000;
  const now = 31_000;
  const order = beginLeaseOrder(endpoint, { now, leaseMs: LEASE_MS, fence: 1 });
  const outcome = LeaseOutcome.Granted;
  settleLeaseOrder(endpoint, order, { outcome, now });
  const driftMs = (now - endpoint.lastListingAskedAt) * CLOCK_DRIFT;
  const latestEndsAt = now + (LEASE_MS + driftMs) * (1 + CLOCK_DRIFT);
  t.true(findLeaseEnd(endpoint) >= latestEndsAt);
  t.true(findLeaseEnd(endpoint) < now + MAX_LEASE_MS);
});

// Guards against orders of a former owner that an idle endpoint carries out after it
// has restarted and forgotten the fencing token.
test("an endpoint that the platform lists with a later lifetime is contacted again", (t) => {
  const { state } = new Cell({
    term: 1,
    retentionMs: 1,
    leaseMs: LEASE_MS,
  });
  updateEndpoints(state, [makeInfo({ bornAt: 5 })]);
  const endpoint = state.endpoints.get("e0")!;
  endpoint.bornAt = 5;
  endpoint.hasAcceptedFence = true;
  updateEndpoints(state, [makeInfo({ bornAt: 5 })]);
  t.true(endpoint.hasAcceptedFence);
  updateEndpoints(state, [makeInfo({ bornAt: 9 })]);
  t.false(endpoint.hasAcceptedFence);
});

// Guards against the same where the time of day was stepped back before the restart; an
// outdated record shows no restart.
test("an endpoint whose record states a new start is contacted again, also if it is earlier", (t) => {
  const { state } = new Cell({ term: 1, retentionMs: 1, leaseMs: LEASE_MS });
  updateEndpoints(state, [makeInfo({ bornAt: 5 })]);
  const endpoint = state.endpoints.get("e0")!;
  endpoint.bornAt = 7;
  endpoint.hasAcceptedFence = true;
  updateEndpoints(state, [makeInfo({ bornAt: 5 })]);
  updateEndpoints(state, [makeInfo({ bornAt: 7 })]);
  t.true(endpoint.hasAcceptedFence);
  updateEndpoints(state, [makeInfo({ bornAt: 3 })]);
  t.false(endpoint.hasAcceptedFence);
});

// Guards against tasks that wait longer than their leases after a take-over, because
// the first listing of an endpoint counted as a restart.
test("the first listing of an endpoint extends no lease", (t) => {
  const { state } = new Cell({ term: 1, retentionMs: 1, leaseMs: LEASE_MS });
  updateEndpoints(state, [makeInfo()]);
  const endpoint = state.endpoints.get("e0")!;
  const listing = {
    clockMs: 1,
    running: [],
    ended: [],
    extent: ListingExtent.Whole,
  };
  const times = { now: 9_000, wallNow: 9_000, askedAt: 8_990 };
  applyListing(state, endpoint, {
    listing: { ...listing, bornAt: 5 },
    fence: 1,
    times,
  });
  t.is(findLeaseEnd(endpoint), 0);
  // A listing that was asked for earlier may be of a former lifetime.
  const laterTimes = { ...times, askedAt: times.now };
  applyListing(state, endpoint, {
    fence: 1,
    listing: { ...listing, bornAt: 9 },
    times: laterTimes,
  });
  t.true(findLeaseEnd(endpoint) > times.now + MAX_LEASE_MS);
});

// Guards against a second run of a task that an unlisted lifetime started: an order that
// got no answer before that start arrives after it and extends the lease.
test("the lease of an unlisted run covers orders that were unanswered before its start", (t) => {
  const endpoint = makeEndpoint(makeInfo());
  const unansweredAt = 1_000;
  const order = beginLeaseOrder(endpoint, {
    now: unansweredAt,
    leaseMs: LEASE_MS,
    fence: 1,
  });
  const outcome = LeaseOutcome.Unanswered;
  settleLeaseOrder(endpoint, order, { outcome, now: unansweredAt });
  const run = { endpoint, isLifetimeKnown: false } as Run;
  noteStartCarriedOut(run, unansweredAt + 2_000);
  t.true(findRunEnd(run) >= unansweredAt + LATE_ORDER_MS + MAX_LEASE_MS);
  const latestArrivalAt = unansweredAt + LATE_ORDER_MS;
  noteStartCarriedOut(run, latestArrivalAt + 1_000);
  t.true(findRunEnd(run) < latestArrivalAt + 1_000 + MAX_LEASE_MS * 1.1);
});
