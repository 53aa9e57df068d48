import { RecordKind } from "../journal/mod.ts";
import { makeZeroDemand } from "../jobs/mod.ts";
import { FULL_PACE, LATE_ORDER_MS, REPLACED_PAUSE_MS } from "./constants.ts";
import { makeEndpointFence } from "./fences.ts";
import { findLeaseEnd, makeLeases } from "./leases.ts";
import { describeAge, findRunEnd } from "./order_effects.ts";
import { type CurrentTime, releaseRun } from "./task_ends.ts";
import { addDecision, type CellState } from "./state.ts";
import {
  mayFormerStartArrive,
  mayHideRuns,
  settleRemnants,
} from "./remnants.ts";
import { noteRoom } from "./room.ts";
import { removeUnlocated } from "./stages.ts";
import { describeCrash, noteCrash, noteFormerCrashes } from "./crashes.ts";
import { makeContact } from "./suspects.ts";
import { DecisionKind, type Endpoint, type EndpointInfo } from "./types.ts";

/** Makes an endpoint that has not sent a listing yet. */
export function makeEndpoint(info: EndpointInfo): Endpoint {
  return {
    info,
    fullRoom: info.capacity,
    isListed: true,
    isRecordOutdated: false,
    isRecorded: false,
    isRecording: false,
    bornAt: 0,
    hasAcceptedFence: false,
    isReplaced: false,
    clockOffset: 0,
    leases: makeLeases(),
    lastEndNumber: 0,
    committedEndNumber: 0,
    fence: makeEndpointFence(),
    unansweredEndsAckAt: Number.NEGATIVE_INFINITY,
    lateAckUntil: 0,
    unansweredLeaseAt: Number.NEGATIVE_INFINITY,
    proof: undefined,
    lastListingAskedAt: 0,
    lastListingAt: Number.NEGATIVE_INFINITY,
    runs: new Map(),
    used: makeZeroDemand(),
    pausedUntil: 0,
    unresponsiveUntil: 0,
    lastListingClock: 0,
    failuresInRow: 0,
    lastFailedJob: "",
    ejectedUntil: 0,
    throttle: { percent: FULL_PACE, changedAt: 0 },
    isColocated: false,
    isCordoned: false,
    contact: makeContact(),
    lifetimeSeenAt: 0,
    recentStarts: [],
  };
}

/** Updates the endpoints from the platform's complete current list. */
export function updateEndpoints(
  state: CellState,
  infos: readonly EndpointInfo[],
  { unconfirmed }: { unconfirmed?: ReadonlySet<string> } = {},
): void {
  const listed = new Set(infos.map(({ id }) => id));
  for (const info of infos) {
    const endpoint = state.endpoints.get(info.id);
    if (!endpoint) state.endpoints.set(info.id, makeEndpoint(info));
    else {
      if (endpoint.info.address !== info.address) endpoint.isReplaced = false;
      noteRoom(state, endpoint, info);
      // A restarted endpoint has forgotten the fencing token. Contact with it keeps
      // late orders of former owners from being carried out.
      if (hasRestarted(endpoint, info)) endpoint.hasAcceptedFence = false;
      endpoint.info = info;
      endpoint.isListed = true;
    }
  }
  for (const endpoint of state.endpoints.values()) {
    const { id } = endpoint.info;
    if (!listed.has(id)) endpoint.isListed = false;
    endpoint.isRecordOutdated = unconfirmed?.has(id) ?? false;
  }
}

/**
 * Returns whether an endpoint's record shows a later lifetime than the one in contact:
 * a later start, or a new one although the time of day was stepped back.
 */
function hasRestarted(
  { info, bornAt }: Endpoint,
  record: EndpointInfo,
): boolean {
  if (bornAt === 0 || record.bornAt === 0) return false;
  const isNew = record.bornAt !== info.bornAt && record.bornAt !== bornAt;
  return record.bornAt > bornAt || isNew;
}

/**
 * Releases runs whose leases have expired and drops unlisted, empty endpoints.
 */
export function expireEndpoints(state: CellState, time: CurrentTime): void {
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.isReplaced && endpoint.isListed) {
      // The platform still lists the endpoint, which may answer at its address
      // again: contact is retried after the pause.
      endpoint.isReplaced = time.now < endpoint.pausedUntil;
    }
    if (time.now < findLeaseEnd(endpoint)) continue;
    if (endpoint.runs.size > 0) expireRuns(state, endpoint, time);
    noteMissing(state, endpoint, time);
    const isSafeToDrop = !mayHideRuns(state, {
      endpointId: endpoint.info.id,
      now: time.now,
    });
    const unansweredAt = Math.max(
      endpoint.unansweredLeaseAt,
      endpoint.unansweredEndsAckAt,
    );
    if (time.now < unansweredAt + LATE_ORDER_MS) continue;
    const isUnused = !endpoint.isListed && endpoint.runs.size === 0;
    if (isUnused && isSafeToDrop) dropEndpoint(state, endpoint);
  }
  settleUnlocated(state, time);
}

/**
 * Requeues the unlocated tasks that certainly do not run any more, and drops the
 * remnants of which that holds.
 */
export function settleUnlocated(state: CellState, time: CurrentTime): void {
  const { now } = time;
  settleRemnants(state, now);
  const settled = [...state.unlocated.values()].filter((taskRef) =>
    !mayHideRuns(state, { endpointId: taskRef.task.placedOn, now }) &&
    !mayFormerStartArrive(state, { taskRef, now })
  );
  noteFormerCrashes(state, settled, time);
  for (const taskRef of settled) removeUnlocated(state, taskRef);
}

/**
 * Marks an endpoint as replaced: another one answers at its address. Each order
 * names its endpoint, so the new endpoint does not carry out orders for the
 * replaced one. All runs of the replaced endpoint are released.
 */
export function noteReplacement(
  state: CellState,
  endpoint: Endpoint,
  time: CurrentTime,
): void {
  const crash = describeCrash(state, endpoint, {
    isMissing: false,
    time,
  });
  if (!endpoint.isReplaced) endpoint.lifetimeSeenAt = time.now;
  endpoint.isReplaced = true;
  endpoint.hasAcceptedFence = false;
  endpoint.leases = makeLeases();
  endpoint.pausedUntil = time.now + REPLACED_PAUSE_MS;
  addDecision(state, {
    kind: DecisionKind.EndpointReplaced,
    subject: endpoint.info.id,
    inputs: { address: endpoint.info.address, runs: endpoint.runs.size },
  });
  for (const run of [...endpoint.runs.values()]) {
    releaseRun(state, run, {
      now: time.now,
      hasFailed: false,
      reason: "the endpoint was replaced",
    });
  }
  noteCrash(state, crash);
  settleUnlocated(state, time);
}

/**
 * Releases the runs that have certainly ended. A run whose start order got no answer
 * stays: the order may be carried out later than its lease was to end.
 */
function expireRuns(
  state: CellState,
  endpoint: Endpoint,
  { now }: CurrentTime,
): void {
  endpoint.hasAcceptedFence = false;
  const endedRuns = [...endpoint.runs.values()].filter((run) =>
    now >= findRunEnd(run)
  );
  if (endedRuns.length === 0) return;
  addDecision(state, {
    kind: DecisionKind.LeaseExpired,
    subject: endpoint.info.id,
    inputs: {
      runs: endedRuns.length,
      unsettledRuns: endpoint.runs.size - endedRuns.length,
      leaseEndedMsAgo: Math.round(now - findLeaseEnd(endpoint)),
      unansweredMsAgo: describeAge(endpoint.unansweredLeaseAt, now),
    },
  });
  endpoint.contact.lapsedRuns.push(...endedRuns);
  for (const run of endedRuns) {
    releaseRun(state, run, { now, hasFailed: true, reason: "lease lapsed" });
  }
}

/**
 * Notes that an endpoint whose leases have expired is missing from the list. One
 * that is still listed may only be cut off.
 */
function noteMissing(
  state: CellState,
  endpoint: Endpoint,
  time: CurrentTime,
): void {
  if (endpoint.isListed || endpoint.contact.lapsedRuns.length === 0) return;
  const crash = describeCrash(state, endpoint, {
    isMissing: true,
    time,
  });
  noteCrash(state, crash);
}

function dropEndpoint(state: CellState, endpoint: Endpoint): void {
  state.endpoints.delete(endpoint.info.id);
  // A record in flight is committed before this one.
  if (!endpoint.isRecorded && !endpoint.isRecording) return;
  state.output.records.push({
    kind: RecordKind.EndpointDropped,
    endpoint: endpoint.info.id,
  });
}
