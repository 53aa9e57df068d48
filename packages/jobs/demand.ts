import type { Demand, StepSpec } from "./types.ts";

/** Returns a demand of zero resources. */
export function makeZeroDemand(): Demand {
  return { milliCores: 0, memoryMb: 0, accelerators: 0 };
}

/**
 * Returns the part of an endpoint's capacity that one task of a step takes; a
 * best-effort task reserves no cores.
 */
export function getCapacityDemand(step: StepSpec): Demand {
  return step.isFilling ? { ...step.demand, milliCores: 0 } : step.demand;
}

/** Adds `times` times a demand to a total, in place; -1 subtracts it once. */
export function addDemand(
  total: Demand,
  demand: Demand,
  times = 1,
): void {
  total.milliCores += demand.milliCores * times;
  total.memoryMb += demand.memoryMb * times;
  total.accelerators += demand.accelerators * times;
}

/** Returns whether a demand fits into the unused part of a capacity. */
export function fitsInto(
  demand: Demand,
  capacity: Demand,
  used: Demand,
): boolean {
  return used.milliCores + demand.milliCores <= capacity.milliCores &&
    used.memoryMb + demand.memoryMb <= capacity.memoryMb &&
    used.accelerators + demand.accelerators <= capacity.accelerators;
}

/** Counts how many times a demand fits into the unused part of a capacity. */
export function countFits(
  demand: Demand,
  capacity: Demand,
  used: Demand,
): number {
  const freeMilliCores = capacity.milliCores - used.milliCores;
  const freeMemoryMb = capacity.memoryMb - used.memoryMb;
  const accelerators = capacity.accelerators - used.accelerators;
  return Math.max(
    0,
    Math.min(
      countFitsOfResource(demand.milliCores, freeMilliCores),
      countFitsOfResource(demand.memoryMb, freeMemoryMb),
      countFitsOfResource(demand.accelerators, accelerators),
    ),
  );
}

function countFitsOfResource(needed: number, free: number): number {
  return needed > 0 ? Math.floor(free / needed) : Number.MAX_SAFE_INTEGER;
}
