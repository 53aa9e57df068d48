import { LATE_ORDER_MS } from "./constants.ts";
import { describeCrash, noteCrash } from "./crashes.ts";
import { isFencedOff } from "./fences.ts";
import { noteNewLifetime } from "./leases.ts";
import { describeAge } from "./order_effects.ts";
import { noteLifetime } from "./run_feed.ts";
import { addDecision, type CellState } from "./state.ts";
import { sendStop } from "./stop_run.ts";
import { type CurrentTime, releaseRun } from "./task_ends.ts";
import { DecisionKind, type Endpoint, RunPhase } from "./types.ts";

/**
 * Begins a new lifetime of an endpoint: all runs of the former one are gone. A run
 * whose lifetime is not known may be of the new one, as both have the same id; the
 * listing settles it. Stops that the former lifetime acknowledged have no effect in
 * the new one, which may still get a late start, and are ordered again. After an
 * unanswered acknowledgement of ends, starts pause until it can no longer
 * arrive, or the lifetime has accepted a higher fencing token: it would also acknowledge
 * new ends, whose numbers start over.
 */
export function beginLifetime(
  state: CellState,
  endpoint: Endpoint,
  options: { bornAt: number; clockMs: number; times: CurrentTime },
): void {
  const { bornAt, clockMs, times } = options;
  const hasRestarted = endpoint.bornAt > 0;
  if (hasRestarted) {
    addDecision(state, {
      kind: DecisionKind.EndpointReborn,
      subject: endpoint.info.id,
      inputs: {
        was: endpoint.bornAt,
        is: bornAt,
        lastClockMs: endpoint.lastListingClock,
        clockMs,
        lastListingMsAgo: Math.round(times.now - endpoint.lastListingAskedAt),
        runs: endpoint.runs.size,
        unansweredMsAgo: describeAge(endpoint.unansweredLeaseAt, times.now),
        unansweredAckMsAgo: describeAge(
          endpoint.unansweredEndsAckAt,
          times.now,
        ),
      },
    });
  }
  const crash = describeCrash(state, endpoint, {
    isMissing: false,
    time: times,
  });
  endpoint.bornAt = bornAt;
  endpoint.lifetimeSeenAt = times.now;
  noteLifetime(state, endpoint, times);
  endpoint.lastEndNumber = 0;
  endpoint.committedEndNumber = 0;
  endpoint.lastListingClock = 0;
  endpoint.failuresInRow = 0;
  endpoint.lastFailedJob = "";
  endpoint.ejectedUntil = 0;
  const { unansweredAck } = endpoint.fence;
  endpoint.lateAckUntil = isFencedOff(endpoint, unansweredAck)
    ? 0
    : endpoint.unansweredEndsAckAt + LATE_ORDER_MS;
  if (hasRestarted) noteNewLifetime(endpoint, times.now);
  for (const run of [...endpoint.runs.values()]) {
    if (!run.isLifetimeKnown) {
      run.isStopAcknowledged = false;
      if (run.phase === RunPhase.Stopping) sendStop(state, run);
      continue;
    }
    releaseRun(state, run, {
      now: times.now,
      hasFailed: false,
      reason: "the endpoint restarted",
    });
  }
  noteCrash(state, crash);
}
