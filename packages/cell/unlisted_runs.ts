import { MAX_LISTED_ENDS } from "./constants.ts";
import { isStartPending } from "./gang_starts.ts";
import { mayStartLater } from "./order_effects.ts";
import type { CellState } from "./state.ts";
import { sendStop, StopReason, stopRun } from "./stop_run.ts";
import { type ListingTimes, releaseRun } from "./task_ends.ts";
import { type EndpointListing, type Run, RunPhase } from "./types.ts";

/** Releases or stops a run that is missing from the listing. */
export function settleUnlistedRun(
  state: CellState,
  run: Run,
  { listing, times }: { listing: EndpointListing; times: ListingTimes },
): void {
  if (times.askedAt <= run.lastChangedAt) return;
  if (run.phase === RunPhase.Starting) return;
  if (hasBeenLost(run, listing)) {
    return releaseRun(state, run, {
      now: times.now,
      hasFailed: false,
      reason: "started by a former lifetime",
    });
  }
  const isStopping = run.phase === RunPhase.Stopping;
  if (isStopping && !run.isStopAcknowledged) return sendStop(state, run);
  if (!isStopping && isStartPending(state, run, times)) return;
  // A second start of the task must not be on its way beside this one.
  if (mayStartLater(run, times.askedAt)) return;
  if (!isStopping) {
    return stopRun(state, run, {
      now: times.now,
      reason: StopReason.Unlisted,
      inputs: { askedMsAgo: Math.round(times.now - times.askedAt) },
    });
  }
  releaseRun(state, run, {
    now: times.now,
    hasFailed: false,
    reason: "stopped, or never started",
  });
}

/**
 * Returns whether a run that was started before an endpoint was asked for this listing,
 * and that no listing has shown, has been lost with a former lifetime.
 */
function hasBeenLost(run: Run, { ended }: EndpointListing): boolean {
  const isStarted = run.phase === RunPhase.Running && !run.isLifetimeKnown;
  return isStarted && ended.length < MAX_LISTED_ENDS;
}
