import { WorkKind } from "../../base/mod.ts";
import { RESERVE_DEMAND_MS } from "../constants.ts";
import { HoldReason } from "../ledger.ts";
import type { ActionContext, GangHold } from "../state.ts";
import { DecisionType, EndpointStatus, type HoldRequest } from "../types.ts";
import { pumpQueue } from "./pump.ts";

/** Reserves room for as many of a gang's tasks as fit now. */
export function reserveForGang(
  context: ActionContext,
  request: HoldRequest,
): void {
  const { state, decisions } = context;
  const hold: GangHold = { request, places: [] };
  if (!state.draining && !state.holds.has(request.hold)) {
    while (hold.places.length < request.tasks && reserveOne(context, hold));
    if (hold.places.length > 0) state.holds.set(request.hold, hold);
  }
  noteShortfall(context, hold);
  const tasks = hold.places.length;
  decisions.push({ type: DecisionType.Held, hold: request.hold, tasks });
}

/** Frees what is left of a reservation. */
export function releaseHold(context: ActionContext, id: string): void {
  const { state } = context;
  const hold = state.holds.get(id);
  if (!hold) return;
  state.holds.delete(id);
  for (const place of hold.places) {
    state.endpoints.get(place.endpoint)?.ledger.release(place.id);
    state.dischargeTask(place.id);
  }
  pumpQueue(context);
}

function reserveOne(context: ActionContext, hold: GangHold): boolean {
  const { state, now } = context;
  const { request, places } = hold;
  if (!state.hasGrant(request.team)) return false;
  const endpoint = state.placement.choose({
    kind: WorkKind.Gang,
    size: request.size,
  }, {
    endpoints: state.open.list,
    canUse: (candidate) => candidate.status === EndpointStatus.Serving,
  });
  if (!endpoint) return false;
  const id = `${request.hold}#${places.length}`;
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
  places.push({ id, endpoint: endpoint.ledger.spec.id });
  return true;
}

/** A reservation that lacked grants counts as demand for a short while. */
function noteShortfall(
  context: ActionContext,
  hold: GangHold,
): void {
  const { state, now } = context;
  const { request } = hold;
  const held = hold.places.length;
  if (held >= request.tasks || state.hasGrant(request.team)) return;
  state.shortfalls.set(request.team, {
    tasks: request.tasks - held,
    until: now + RESERVE_DEMAND_MS,
  });
}
