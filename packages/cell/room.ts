import { fitsInto, makeZeroDemand } from "../jobs/mod.ts";
import type { Endpoint, EndpointInfo } from "./types.ts";

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
export function noteRoom(endpoint: Endpoint, record: EndpointInfo): void {
  const { capacity, bornAt } = record;
  const former = bornAt > endpoint.info.bornAt
    ? makeZeroDemand()
    : endpoint.fullRoom;
  endpoint.fullRoom = {
    milliCores: Math.max(former.milliCores, capacity.milliCores),
    memoryMb: Math.max(former.memoryMb, capacity.memoryMb),
    accelerators: Math.max(former.accelerators, capacity.accelerators),
  };
}
