import { RecordKind } from "../journal/mod.ts";
import { makeNoDemand } from "../jobs/mod.ts";
import {
  CLOCK_DRIFT,
  FULL_PACE,
  LEASE_MARGIN_MS,
  REPLACED_PAUSE_MS,
} from "./constants.ts";
import { type Present, releaseRun } from "./ends.ts";
import { addDecision, type CellState } from "./state.ts";
import { removeUnlocated } from "./stages.ts";
import { DecisionKind, type Endpoint, type EndpointInfo } from "./types.ts";

/** Makes an endpoint of which nothing is known but its address. */
export function makeEndpoint(info: EndpointInfo): Endpoint {
  return {
    info,
    isListed: true,
    isRecorded: false,
    isRecording: false,
    bornAt: 0,
    isHeld: false,
    isReplaced: false,
    clockOffset: 0,
    leaseEndsAt: 0,
    lastEnd: 0,
    committedEnd: 0,
    unansweredNoteAt: Number.NEGATIVE_INFINITY,
    runs: new Map(),
    used: makeNoDemand(),
    pausedUntil: 0,
    silentUntil: 0,
    listedClock: 0,
    failuresInRow: 0,
    lastFailedJob: "",
    ejectedUntil: 0,
    throttle: { percent: FULL_PACE, changedAt: 0 },
    isShared: false,
    isClosing: false,
  };
}

/** Takes over the platform's present list of endpoints. */
export function updateEndpoints(
  state: CellState,
  infos: readonly EndpointInfo[],
): void {
  const listed = new Set(infos.map(({ id }) => id));
  for (const info of infos) {
    const endpoint = state.endpoints.get(info.id);
    if (!endpoint) state.endpoints.set(info.id, makeEndpoint(info));
    else {
      if (endpoint.info.address !== info.address) endpoint.isReplaced = false;
      endpoint.info = info;
      endpoint.isListed = true;
    }
  }
  for (const endpoint of state.endpoints.values()) {
    if (!listed.has(endpoint.info.id)) endpoint.isListed = false;
  }
}

/** Notes that an order may prolong the leases of an endpoint. */
export function noteLeaseSent(
  endpoint: Endpoint,
  options: { now: number; leaseMs: number },
): void {
  const longest = options.leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
  const endsAt = options.now + longest;
  endpoint.leaseEndsAt = Math.max(endpoint.leaseEndsAt, endsAt);
}

/** Drops what is certainly gone: lapsed runs, and endpoints without any. */
export function expireEndpoints(state: CellState, present: Present): void {
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.isReplaced && endpoint.isListed) {
      // Listed all the same: asked again, in case its address has changed back.
      endpoint.isReplaced = present.now < endpoint.pausedUntil;
    }
    if (present.now < endpoint.leaseEndsAt) continue;
    if (endpoint.runs.size > 0) expireRuns(state, endpoint, present);
    const isSettled = present.now >= state.unlocatedUntil || endpoint.isHeld ||
      endpoint.isReplaced;
    if (!endpoint.isListed && isSettled) dropEndpoint(state, endpoint);
  }
  settleUnlocated(state, present.now);
}

/** Lets unlocated tasks wait that their endpoints do not run. */
export function settleUnlocated(state: CellState, now: number): void {
  if (state.unlocated.size === 0) return;
  for (const place of [...state.unlocated.values()]) {
    const endpoint = state.endpoints.get(place.task.placedOn);
    const isInDoubt = endpoint && !endpoint.isHeld && !endpoint.isReplaced;
    if (isInDoubt && now < state.unlocatedUntil) continue;
    removeUnlocated(state, place);
  }
}

/**
 * Another endpoint answers at this one's address. Orders name the endpoint that
 * they are for, so that none of them can be carried out any more.
 */
export function noteReplacement(
  state: CellState,
  endpoint: Endpoint,
  present: Present,
): void {
  endpoint.isReplaced = true;
  endpoint.isHeld = false;
  endpoint.leaseEndsAt = 0;
  endpoint.pausedUntil = present.now + REPLACED_PAUSE_MS;
  addDecision(state, {
    kind: DecisionKind.EndpointReplaced,
    subject: endpoint.info.id,
    inputs: { address: endpoint.info.address, runs: endpoint.runs.size },
  });
  for (const run of [...endpoint.runs.values()]) {
    releaseRun(state, run, {
      now: present.now,
      isFault: false,
      reason: "the endpoint was replaced",
    });
  }
  settleUnlocated(state, present.now);
}

function expireRuns(
  state: CellState,
  endpoint: Endpoint,
  { now }: Present,
): void {
  addDecision(state, {
    kind: DecisionKind.LeaseLapsed,
    subject: endpoint.info.id,
    inputs: {
      runs: endpoint.runs.size,
      leaseEndedMsAgo: Math.round(now - endpoint.leaseEndsAt),
    },
  });
  endpoint.isHeld = false;
  for (const run of [...endpoint.runs.values()]) {
    releaseRun(state, run, { now, isFault: true, reason: "lease lapsed" });
  }
}

function dropEndpoint(state: CellState, endpoint: Endpoint): void {
  state.endpoints.delete(endpoint.info.id);
  if (!endpoint.isRecorded) return;
  state.output.records.push({
    kind: RecordKind.EndpointDropped,
    endpoint: endpoint.info.id,
  });
}
