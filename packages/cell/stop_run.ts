import { addDecision, type CellState } from "./state.ts";
import { DecisionKind, OrderKind, type Run, RunPhase } from "./types.ts";

/** Why a run is stopped. */
export enum StopReason {
  /** Its caller cancelled the job. */
  Cancelled = "cancelled",
  /** It makes no progress. */
  Stalled = "stalled",
  /** Another member of its gang ended, stalled or did not start. */
  GangStopped = "gang_stopped",
  /** Its endpoint leaves before it would end. */
  EndpointLeaving = "endpoint_leaving",
  /** Its failure domain is being evacuated. */
  Evacuated = "evacuated",
  /** More urgent work takes its place. */
  Preempted = "preempted",
  /** The VM of its endpoint is due for upkeep. */
  Upkeep = "upkeep",
  /** Its job has ended, or its task is done or runs elsewhere. */
  NoLongerNeeded = "no_longer_needed",
  /** Its start got no answer, and the endpoint does not list it. */
  Unlisted = "unlisted",
  /** Best-effort work that serving work beside it has kept paused for too long. */
  Paused = "paused",
}

/** Why and when a run is stopped. */
export interface StopCause {
  now: number;
  reason: StopReason;
  /** What the decision was based on, for the log. */
  inputs?: Record<string, unknown>;
}

/**
 * Orders a run to stop. The run occupies its resources until it is released.
 */
export function stopRun(
  state: CellState,
  run: Run,
  { now, reason, inputs }: StopCause,
): void {
  if (run.phase === RunPhase.Stopping) return;
  const { phase } = run;
  run.phase = RunPhase.Stopping;
  run.isStopAcknowledged = false;
  run.lastChangedAt = now;
  state.stoppingRuns.add(run);
  sendStop(state, run);
  addDecision(state, {
    kind: DecisionKind.Stopped,
    subject: run.task,
    inputs: {
      run: run.number,
      endpoint: run.endpoint.info.id,
      reason,
      phase,
      percent: run.percent,
      sinceStartMs: Math.round(now - run.startedAt),
      ...inputs,
    },
  });
}

/** Issues a stop order unless one is in flight. */
export function sendStop(state: CellState, run: Run): void {
  if (run.isStopOrderInFlight) return;
  run.isStopOrderInFlight = true;
  state.output.orders.push({ kind: OrderKind.Stop, run });
}
