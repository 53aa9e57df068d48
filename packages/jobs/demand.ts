import type { Demand } from "./types.ts";

/** Makes the demand of nothing. */
export function makeNoDemand(): Demand {
  return { milliCores: 0, memoryMb: 0, accelerators: 0 };
}

/** Adds `times` demands to a total, in place; a negative number removes. */
export function addDemand(
  total: Demand,
  demand: Demand,
  times = 1,
): void {
  total.milliCores += demand.milliCores * times;
  total.memoryMb += demand.memoryMb * times;
  total.accelerators += demand.accelerators * times;
}

/** Tells whether one more demand fits into what is left of a capacity. */
export function fitsInto(
  demand: Demand,
  capacity: Demand,
  used: Demand,
): boolean {
  return used.milliCores + demand.milliCores <= capacity.milliCores &&
    used.memoryMb + demand.memoryMb <= capacity.memoryMb &&
    used.accelerators + demand.accelerators <= capacity.accelerators;
}

/** Counts how many demands fit into what is left of a capacity. */
export function countFits(
  demand: Demand,
  capacity: Demand,
  used: Demand,
): number {
  const parts = [
    [demand.milliCores, capacity.milliCores - used.milliCores],
    [demand.memoryMb, capacity.memoryMb - used.memoryMb],
    [demand.accelerators, capacity.accelerators - used.accelerators],
  ];
  let least = Number.MAX_SAFE_INTEGER;
  for (const [need, left] of parts) {
    if (need > 0) least = Math.min(least, Math.floor(left / need));
  }
  return Math.max(0, least);
}
