import type { JobSpec } from "../jobs/mod.ts";
import {
  buildStages,
  countHeldTasks,
  openStages,
  STAGE_WEIGHT,
} from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import type { CurrentTime } from "./task_ends.ts";
import { DecisionKind, type Job } from "./types.ts";

/** Default number of tasks that an owner holds, of all jobs: some 32 MB. */
export const DEFAULT_HELD_TASKS = 80_000;

/**
 * Explains why a job has no room among the tasks that are held; undefined: it has. Load:
 * one job of the largest size takes more memory than an owner has, and so does the next
 * owner that restores it.
 */
export function explainHeldTasks(
  { heldTasks, maxHeldTasks }: CellState,
  spec: JobSpec,
): string | undefined {
  const tasks = countHeldTasks(spec);
  if (tasks > maxHeldTasks) {
    return `the job counts ${tasks} tasks, and all jobs together may count ` +
      `${maxHeldTasks}; each step of each occurrence counts ${STAGE_WEIGHT} more`;
  }
  if (heldTasks + tasks <= maxHeldTasks) return undefined;
  return `the job counts ${tasks} tasks, and ${heldTasks} of ${maxHeldTasks} are held`;
}

/**
 * Builds the stages of a restored job if there is room for its tasks. A job without room
 * stays pending. `isUsed`: the journal says something of its tasks, which must be known.
 */
export function restoreStages(
  state: CellState,
  job: Job,
  { isUsed }: { isUsed: boolean },
): void {
  if (!isUsed && explainHeldTasks(state, job.spec) !== undefined) {
    state.deferred.add(job);
    return;
  }
  buildStages(state, job);
}

/** Begins the deferred jobs that have room now, in the order of their acceptance. */
export function beginDeferredJobs(state: CellState, time: CurrentTime): void {
  for (const job of state.deferred) {
    if (job.outcome) {
      state.deferred.delete(job);
      continue;
    }
    const reason = explainHeldTasks(state, job.spec);
    if (reason === undefined) {
      state.deferred.delete(job);
      buildStages(state, job);
      openStages(state, job, time);
    } else if (!job.isDeferralLogged) {
      job.isDeferralLogged = true;
      addDecision(state, {
        kind: DecisionKind.JobDeferred,
        subject: job.spec.id,
        inputs: { reason },
      });
    }
  }
}
