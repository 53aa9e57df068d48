import { fitsInto, makeZeroDemand } from "../jobs/mod.ts";
import type { Endpoint } from "./types.ts";

/**
 * Returns whether the runs of an endpoint take more than its room, which may shrink
 * while it runs. Runs whose start has not been sent yet and those that are being
 * stopped count.
 */
export function isOverRoom({ info, used }: Endpoint): boolean {
  return !fitsInto(makeZeroDemand(), info.capacity, used);
}
