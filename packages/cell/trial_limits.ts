import {
  MAX_SUSPECT_RETRY_MS,
  MAX_TRIAL_FRACTION,
  SMALL_CELL_TRIALS,
  SUSPECT_RETRY_MS,
} from "./constants.ts";
import type { CellState } from "./state.ts";
import type { Stage, TrialLimit } from "./types.ts";

/** How suspects are tried until a trial has a result. */
const FIRST_LIMIT: Readonly<TrialLimit> = {
  limit: 1,
  loweredAt: Number.NEGATIVE_INFINITY,
};

/** Finds how the suspects of the stage's queue are tried now. */
export function findTrialLimit(
  { trialLimits }: CellState,
  { job }: Stage,
): Readonly<TrialLimit> {
  return trialLimits.get(job.spec.queue.name) ?? FIRST_LIMIT;
}

/**
 * Raises the number of trials after one that was outlived, up to a share of the service's
 * endpoints. Load: many suspects after many endpoints crashed.
 */
export function raiseTrialLimit(state: CellState, stage: Stage): void {
  const { name, service } = stage.job.spec.queue;
  let listed = 0;
  for (const { info, isListed } of state.endpoints.values()) {
    if (isListed && info.service === service) listed++;
  }
  const share = Math.floor(listed * MAX_TRIAL_FRACTION);
  const most = Math.max(SMALL_CELL_TRIALS, share);
  const { limit, loweredAt } = findTrialLimit(state, stage);
  state.trialLimits.set(name, { limit: Math.min(most, limit + 1), loweredAt });
}

/**
 * Lowers the number of trials to one after the trial of a likely cause crashed its
 * endpoint, so that a class of bad tasks crashes one endpoint at a time. The task itself
 * waits, longer each time.
 */
export function lowerTrialLimit(
  state: CellState,
  name: string,
  { now }: { now: number },
): void {
  const taskRef = state.suspects.get(name);
  if (!taskRef) return;
  const { stage, task: { crashes } } = taskRef;
  const queue = stage.job.spec.queue.name;
  state.trialLimits.set(queue, { limit: 1, loweredAt: now });
  const earlierTrials = Math.max(0, crashes.counted.length - 2);
  const delayMs = SUSPECT_RETRY_MS * 2 ** earlierTrials;
  crashes.retryAt = now + Math.min(MAX_SUSPECT_RETRY_MS, delayMs);
}
