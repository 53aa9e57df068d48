import {
  Cause,
  makeMayHaveRunOutcome,
  makeNotRunOutcome,
} from "../../base/mod.ts";
import { finishAttempt } from "../attempts.ts";
import { SWEEP_INTERVAL_MS } from "../constants.ts";
import { EndpointState } from "../endpoint_state.ts";
import type { ActionContext } from "../state.ts";
import {
  AttemptStage,
  DecisionType,
  EndpointStatus,
  type EngineEvent,
  EngineEventType,
} from "../types.ts";
import { releaseReservation } from "./gang.ts";
import { expireWaiting, startWaitingAttempts } from "./start_waiting.ts";

type EndpointsChanged = Extract<
  EngineEvent,
  { type: EngineEventType.EndpointsChanged }
>;

/** Replaces the set of owned endpoints. */
export function changeEndpoints(
  context: ActionContext,
  event: EndpointsChanged,
): void {
  const { state } = context;
  const ownedIds = new Set(event.endpoints.map((spec) => spec.id));
  for (const id of [...state.endpoints.keys()]) {
    if (!ownedIds.has(id)) dropEndpoint(context, id, event);
  }
  for (const spec of event.endpoints) {
    let endpoint = state.endpoints.get(spec.id);
    if (!endpoint) {
      endpoint = new EndpointState(
        spec,
        (changed) => state.endpointsWithFreeSlots.update(changed),
      );
      state.endpoints.set(spec.id, endpoint);
    }
    endpoint.ledger.spec = spec;
    endpoint.quiescing = event.quiescing.has(spec.shard);
  }
  state.handedOverTasks = event.handedOverTasks;
  state.endpointList = [...state.endpoints.values()];
  updateCapacity(context);
  startWaitingAttempts(context);
}

/** Begins a drain: refuses waiting attempts and all later ones. */
export function drainEngine(context: ActionContext): void {
  const { state } = context;
  state.draining = true;
  for (const waiting of [...state.queue.list()]) {
    const outcome = makeNotRunOutcome(Cause.Draining, "entry is draining");
    const { deadline } = waiting;
    finishAttempt(context, waiting.id, { outcome, deadline });
  }
}

/**
 * Ends waiting attempts whose deadline has passed, releases expired gang
 * reservations, removes expired records and starts waiting attempts.
 */
export function tickEngine(context: ActionContext): void {
  const { state, now } = context;
  for (const waiting of [...state.queue.list()]) {
    if (now >= waiting.deadline) expireWaiting(context, waiting);
  }
  for (const [id, reservation] of [...state.gangReservations]) {
    if (now >= reservation.request.expires) releaseReservation(context, id);
  }
  if (now >= state.nextSweepAt) removeExpiredRecords(context);
  startWaitingAttempts(context);
}

/** Removes expired outcomes and reservation shortfalls. */
function removeExpiredRecords(context: ActionContext): void {
  const { state, now } = context;
  state.nextSweepAt = now + SWEEP_INTERVAL_MS;
  for (const [id, record] of state.attempts) {
    if (record.stage !== AttemptStage.Ended) continue;
    if (now >= record.expires) state.attempts.delete(id);
  }
  for (const [team, shortfall] of state.shortfalls) {
    if (now >= shortfall.until) state.shortfalls.delete(team);
  }
}

/**
 * Removes an endpoint that this entry no longer owns. If its shard was handed
 * over, the new owner counts its tasks; if this entry still owns the shard, the
 * VM is gone and the tasks are lost with it.
 */
function dropEndpoint(
  context: ActionContext,
  id: string,
  event: EndpointsChanged,
): void {
  const { state, decisions } = context;
  const { ledger } = state.endpoints.get(id)!;
  state.endpointsWithFreeSlots.remove(state.endpoints.get(id)!);
  state.endpoints.delete(id);
  for (const hold of ledger.list()) {
    state.dischargeTask(hold.id);
    if (event.owned.has(ledger.spec.shard)) finishLostAttempt(context, hold.id);
  }
  const status = EndpointStatus.Gone;
  decisions.push({ type: DecisionType.EndpointStatus, endpoint: id, status });
}

/** Ends a running attempt whose endpoint is gone. */
function finishLostAttempt(context: ActionContext, id: string): void {
  const record = context.state.attempts.get(id);
  if (record?.stage !== AttemptStage.Running) return;
  const outcome = makeMayHaveRunOutcome(Cause.EndpointLost, "endpoint is gone");
  const { deadline } = record.attempt!;
  finishAttempt(context, id, { outcome, deadline });
}

/** Recomputes the total resources of the owned endpoints. */
function updateCapacity(context: ActionContext): void {
  const { state } = context;
  const capacity = { slots: 0, cores: 0, memoryMb: 0, accelerators: 0 };
  for (const { ledger } of state.endpointList) {
    capacity.slots += ledger.spec.slots;
    capacity.cores += ledger.spec.size.cores;
    capacity.memoryMb += ledger.spec.size.memoryMb;
    capacity.accelerators += ledger.spec.size.accelerators;
  }
  state.capacity = capacity;
}
