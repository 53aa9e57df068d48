import { MAX_LISTED_ENDS } from "./constants.ts";
import { isFencedOff } from "./fences.ts";
import { isStartPending } from "./gang_starts.ts";
import type { ListingOptions } from "./listing.ts";
import { mayStartLater } from "./order_effects.ts";
import type { CellState } from "./state.ts";
import { sendStop, StopReason, stopRun } from "./stop_run.ts";
import { releaseRun } from "./task_ends.ts";
import { type EndpointListing, type Run, RunPhase } from "./types.ts";

/** Releases or stops a run that is missing from the listing. */
export function settleUnlistedRun(
  state: CellState,
  run: Run,
  { listing, times }: ListingOptions,
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
  if (hasNeverStarted(run, { listing, askedAt: times.askedAt })) {
    return releaseRun(state, run, {
      now: times.now,
      hasFailed: false,
      reason: "never started",
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
 * Returns whether the start of an unlisted run, which got no answer, was not carried out
 * and can't be any more: a higher fencing token has been accepted since, and no later
 * lifetime can carry it out either. A run that has ended would be listed as such.
 */
function hasNeverStarted(
  run: Run,
  { listing, askedAt }: { listing: EndpointListing; askedAt: number },
): boolean {
  return run.phase === RunPhase.Unacknowledged &&
    isFencedOff(run.endpoint, run.sentFence) &&
    !mayStartLater(run, askedAt) && listing.ended.length < MAX_LISTED_ENDS;
}

/**
 * Returns whether a run that was started before an endpoint was asked for this listing,
 * and that no listing has shown, has been lost with a former lifetime.
 */
function hasBeenLost(run: Run, { ended }: EndpointListing): boolean {
  const isStarted = run.phase === RunPhase.Running && !run.isLifetimeKnown;
  return isStarted && ended.length < MAX_LISTED_ENDS;
}
