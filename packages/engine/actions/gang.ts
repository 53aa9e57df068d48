import { WorkKind } from "../../base/mod.ts";
import { SHORTFALL_RETENTION_MS } from "../constants.ts";
import { HoldReason } from "../ledger.ts";
import type { ActionContext, GangReservation } from "../state.ts";
import {
  DecisionType,
  EndpointStatus,
  type ReservationRequest,
} from "../types.ts";
import { startWaitingAttempts } from "./start_waiting.ts";

/** Reserves resources for as many of a gang's tasks as fit and have a grant. */
export function reserveForGang(
  context: ActionContext,
  request: ReservationRequest,
): void {
  const { state, decisions } = context;
  const reservation: GangReservation = { request, unusedHolds: [] };
  if (!state.draining && !state.gangReservations.has(request.hold)) {
    while (
      reservation.unusedHolds.length < request.tasks &&
      reserveTask(context, reservation)
    );
    if (reservation.unusedHolds.length > 0) {
      state.gangReservations.set(request.hold, reservation);
    }
  }
  recordShortfall(context, reservation);
  const tasks = reservation.unusedHolds.length;
  decisions.push({ type: DecisionType.Reserved, hold: request.hold, tasks });
}

/** Releases the unused holds of a gang reservation. */
export function releaseReservation(context: ActionContext, id: string): void {
  const { state } = context;
  const reservation = state.gangReservations.get(id);
  if (!reservation) return;
  state.gangReservations.delete(id);
  for (const hold of reservation.unusedHolds) {
    state.endpoints.get(hold.endpoint)?.ledger.release(hold.id);
    state.dischargeTask(hold.id);
  }
  startWaitingAttempts(context);
}

/** Reserves resources for one task; returns false if that is not possible. */
function reserveTask(
  context: ActionContext,
  reservation: GangReservation,
): boolean {
  const { state, now } = context;
  const { request, unusedHolds } = reservation;
  if (!state.hasGrant(request.team)) return false;
  const endpoint = state.placement.choose({
    kind: WorkKind.Gang,
    size: request.size,
  }, {
    endpoints: state.endpointsWithFreeSlots.list,
    canUse: (candidate) => candidate.status === EndpointStatus.Serving,
  });
  if (!endpoint) return false;
  const id = `${request.hold}#${unusedHolds.length}`;
  state.chargeTask(id, request);
  endpoint.ledger.reserve({
    id,
    size: request.size,
    team: request.team,
    starter: state.incarnation,
    reason: HoldReason.Reserved,
    since: now,
    missing: 0,
    listed: true,
  });
  unusedHolds.push({ id, endpoint: endpoint.ledger.spec.id });
  return true;
}

/**
 * Records the tasks that a reservation lacked grants for. These tasks count as
 * demand for a short time, so that the team gets more grants.
 */
function recordShortfall(
  context: ActionContext,
  reservation: GangReservation,
): void {
  const { state, now } = context;
  const { request } = reservation;
  const reserved = reservation.unusedHolds.length;
  if (reserved >= request.tasks || state.hasGrant(request.team)) return;
  state.shortfalls.set(request.team, {
    tasks: request.tasks - reserved,
    until: now + SHORTFALL_RETENTION_MS,
  });
}
