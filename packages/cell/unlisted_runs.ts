import { isFencedOff } from "./fences.ts";
import { isStartPending } from "./gang_starts.ts";
import type { ListingTimes } from "./task_ends.ts";
import { hasNoTrace } from "./listing_proof.ts";
import { mayStartLater } from "./order_effects.ts";
import type { CellState } from "./state.ts";
import { sendStop, StopReason, stopRun } from "./stop_run.ts";
import { releaseRun } from "./task_ends.ts";
import { type ListingProof, type Run, RunPhase } from "./types.ts";

/**
 * Releases or stops a run that is missing from its endpoint's newest listing, as far as
 * that proves anything of it.
 */
export function settleUnlistedRun(
  state: CellState,
  run: Run,
  { proof, times }: { proof: ListingProof; times: ListingTimes },
): void {
  if (!hasNoTrace(proof, run)) return;
  if (run.phase === RunPhase.Starting) return;
  if (hasBeenLost(run)) {
    return releaseRun(state, run, {
      now: times.now,
      hasFailed: false,
      reason: "started by a former lifetime",
    });
  }
  if (hasNeverStarted(run, times)) {
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
 * lifetime can carry it out either.
 */
function hasNeverStarted(
  run: Run,
  { askedAt }: { askedAt: number },
): boolean {
  return run.phase === RunPhase.Unacknowledged &&
    isFencedOff(run.endpoint, run.sentFence) &&
    !mayStartLater(run, askedAt);
}

/**
 * Returns whether a run that was started before an endpoint was asked for this listing,
 * and that no listing has shown, has been lost with a former lifetime.
 */
function hasBeenLost({ phase, isLifetimeKnown }: Run): boolean {
  return phase === RunPhase.Running && !isLifetimeKnown;
}
