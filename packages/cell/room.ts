import { type Demand, fitsInto, makeZeroDemand } from "../jobs/mod.ts";
import { addDecision, type CellState, listAmounts } from "./state.ts";
import { DecisionKind, type Endpoint, type EndpointInfo } from "./types.ts";

/**
 * Returns whether the runs of an endpoint take more than its room, which may shrink
 * while it runs. Runs whose start has not been sent yet and those that are being
 * stopped count.
 */
export function isOverRoom({ info, used }: Endpoint): boolean {
  return !fitsInto(makeZeroDemand(), info.capacity, used);
}

/**
 * Notes the room that an endpoint's new record shows. A new lifetime may be of another
 * kind, with other room.
 */
export function noteRoom(
  state: CellState,
  endpoint: Endpoint,
  record: EndpointInfo,
): void {
  const { info, isListed, used } = endpoint;
  const from = info.capacity;
  const to = record.capacity;
  const former = record.bornAt > info.bornAt
    ? makeZeroDemand()
    : endpoint.fullRoom;
  endpoint.fullRoom = {
    milliCores: Math.max(former.milliCores, to.milliCores),
    memoryMb: Math.max(former.memoryMb, to.memoryMb),
    accelerators: Math.max(former.accelerators, to.accelerators),
  };
  // The room of an endpoint that was not listed is not known.
  if (!isListed || (covers(from, to) && covers(to, from))) return;
  addDecision(state, {
    kind: covers(to, from) ? DecisionKind.RoomGrown : DecisionKind.RoomShrunk,
    subject: info.id,
    inputs: {
      from: listAmounts(from),
      to: listAmounts(to),
      taken: listAmounts(used),
      runs: endpoint.runs.size,
      bornAt: endpoint.bornAt,
    },
  });
}

function covers(room: Demand, other: Demand): boolean {
  return fitsInto(other, room, makeZeroDemand());
}
