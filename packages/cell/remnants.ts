import { addDemand, getCapacityDemand, parseTaskName } from "../jobs/mod.ts";
import { UNKNOWN_DEMAND } from "./constants.ts";
import { hasHiddenEnds } from "./listing_proof.ts";
import { findLeaseEnd, MAX_GRANTED_LEASE_MS } from "./leases.ts";
import { type CellState, getUsage } from "./state.ts";
import { findTask, getStep, removeUnlocated } from "./stages.ts";
import type { Remnant, Run, Stage, Task } from "./types.ts";

/**
 * Returns whether an endpoint may still have runs of former owners, or their ends, that
 * this owner has not seen. An endpoint that is not known was dropped: it had none. Ends
 * that were cut off count until all leases have lapsed without contact: an end that is
 * taken note of after that does not count ("unless the worker's lease lapsed between the
 * two").
 */
export function mayHideRuns(
  state: CellState,
  { endpointId, now }: { endpointId: string; now: number },
): boolean {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint || endpoint.isReplaced) return false;
  if (!endpoint.hasAcceptedFence) return now < state.unlocatedUntil;
  if (!hasHiddenEnds(endpoint)) return false;
  const leasesEndAt = Math.max(state.unlocatedUntil, findLeaseEnd(endpoint));
  return endpoint.contact.lostAt === 0 || now < leasesEndAt;
}

/**
 * Returns whether a former owner's start of a task may still take effect on the
 * endpoint where it was placed: it may be on its way, and a lifetime that begins
 * before it arrives knows of no fencing token. A ticket is bound to one lifetime. An
 * endpoint that was dropped may be back under its id.
 */
export function mayFormerStartArrive(
  state: CellState,
  options: { taskRef: { stage: Stage; task: Task }; now: number },
): boolean {
  const { stage, task } = options.taskRef;
  if (stage.job.spec.queue.advice) return false;
  const endpoint = state.endpoints.get(task.placedOn);
  if (task.placedOn === "" || endpoint?.isReplaced) return false;
  const leaseMs = endpoint?.hasAcceptedFence ? 0 : MAX_GRANTED_LEASE_MS;
  return options.now < state.formerStartsUntil + leaseMs;
}

/** Adds a remnant and charges it to the quota of its organisation. */
export function addRemnant(state: CellState, remnant: Remnant): void {
  const key = formatKey(remnant);
  if (state.remnants.has(key)) return;
  state.remnants.set(key, remnant);
  addDemand(getUsage(state, remnant.organisation), remnant.charge);
}

/** Adds a remnant for a task that may still run where it was placed. */
export function addTaskRemnant(
  state: CellState,
  { stage, task }: { stage: Stage; task: Task },
): void {
  if (task.placedOn === "") return;
  const step = getStep(stage);
  addRemnant(state, {
    task: task.name,
    endpoint: task.placedOn,
    demand: getCapacityDemand(step),
    charge: step.demand,
    organisation: stage.job.spec.organisation,
  });
}

/** Turns an unlocated task that needs no further run into a remnant. */
export function releaseUnlocated(
  state: CellState,
  taskRef: { stage: Stage; task: Task },
): void {
  if (!state.unlocated.has(taskRef.task.name)) return;
  removeUnlocated(state, taskRef);
  addTaskRemnant(state, taskRef);
}

/**
 * Computes what a listed run takes from its endpoint and its organisation's
 * quota. A run of which nothing is known fills both until it ends. `source`: what
 * that was taken from, for the log.
 */
export function computeRunCost(
  state: CellState,
  place: { task: string; endpoint: string },
): Pick<Run, "demand" | "charge" | "organisation"> & { source: string } {
  const remnant = claimRemnant(state, place);
  const stage = findTask(state, place.task)?.stage;
  if (stage) {
    const step = getStep(stage);
    return {
      demand: getCapacityDemand(step),
      charge: step.demand,
      organisation: stage.job.spec.organisation,
      source: "job",
    };
  }
  if (remnant) {
    const { demand, charge, organisation } = remnant;
    return { demand, charge, organisation, source: "remnant" };
  }
  const endedJob = state.ended.get(parseTaskName(place.task)?.job ?? "");
  const organisation = endedJob?.organisation ?? "";
  return {
    demand: UNKNOWN_DEMAND,
    charge: UNKNOWN_DEMAND,
    organisation,
    source: "unknown",
  };
}

/** Removes the remnants that certainly do not run any more. */
export function settleRemnants(state: CellState, now: number): void {
  for (const remnant of [...state.remnants.values()]) {
    if (mayHideRuns(state, { endpointId: remnant.endpoint, now })) continue;
    removeRemnant(state, remnant);
  }
}

/**
 * Collects the remnants and the runs that no task of an unfinished job names,
 * for a snapshot: a later owner cannot compute what they take.
 */
export function collectRemnants(state: CellState): Remnant[] {
  const remnants = [...state.remnants.values()];
  for (const endpoint of state.endpoints.values()) {
    for (const run of endpoint.runs.values()) {
      if (findTask(state, run.task)?.task.run === run) continue;
      const { task, demand, charge, organisation } = run;
      const { id } = endpoint.info;
      remnants.push({ task, endpoint: id, demand, charge, organisation });
    }
  }
  return remnants;
}

/** Removes a remnant whose run is listed now, and returns it. */
function claimRemnant(
  state: CellState,
  place: { task: string; endpoint: string },
): Remnant | undefined {
  const remnant = state.remnants.get(formatKey(place));
  if (remnant) removeRemnant(state, remnant);
  return remnant;
}

function removeRemnant(state: CellState, remnant: Remnant): void {
  state.remnants.delete(formatKey(remnant));
  addDemand(getUsage(state, remnant.organisation), remnant.charge, -1);
}

function formatKey(place: { task: string; endpoint: string }): string {
  return `${place.task}@${place.endpoint}`;
}
