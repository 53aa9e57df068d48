import type { JobSpec } from "../jobs/mod.ts";
import type { CellState } from "./state.ts";
import type { Stage } from "./types.ts";

/** Returns whether a new job is beyond the share of its organisation. */
export function checkOverShare(
  state: CellState,
  { organisation }: JobSpec,
  { now }: { now: number },
): boolean {
  const rules = state.organisations?.get(organisation);
  return state.shareMeter.checkOverShare(organisation, {
    jobsPerSecond: rules?.weight ?? 0,
    now,
  });
}

/** Returns whether a waiting stage is served after stages within their share. */
export function isStageBeyondShare(stage: Stage): boolean {
  return stage.job.isOverShare;
}
