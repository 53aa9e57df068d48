import type { Demand, StepSpec } from "./types.ts";

/** Makes the demand of nothing. */
export function makeNoDemand(): Demand {
  return { milliCores: 0, memoryMb: 0, accelerators: 0 };
}

/** Returns what one task of a step takes of an endpoint's capacity. */
export function getRoomDemand(step: StepSpec): Demand {
  return step.isFilling ? { ...step.demand, milliCores: 0 } : step.demand;
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
  const cores = capacity.milliCores - used.milliCores;
  const memory = capacity.memoryMb - used.memoryMb;
  const accelerators = capacity.accelerators - used.accelerators;
  return Math.max(
    0,
    Math.min(
      countParts(demand.milliCores, cores),
      countParts(demand.memoryMb, memory),
      countParts(demand.accelerators, accelerators),
    ),
  );
}

function countParts(need: number, left: number): number {
  return need > 0 ? Math.floor(left / need) : Number.MAX_SAFE_INTEGER;
}
