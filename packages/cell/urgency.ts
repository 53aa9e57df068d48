import { getStep } from "./stages.ts";
import type { Stage } from "./types.ts";

/** The most urgent priority; see `QueueRules.priority`. */
export const URGENT_PRIORITY = 0;

/** Returns whether a stage has the most urgent priority. */
export function isUrgent({ job }: Stage): boolean {
  return job.spec.queue.priority === URGENT_PRIORITY;
}

/** Returns whether a stage belongs on fast endpoints. */
export function hasUrgentNeed(stage: Stage): boolean {
  return getStep(stage).gang || isUrgent(stage);
}
