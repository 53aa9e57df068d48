import { addDecision, type CellState } from "./state.ts";
import { DecisionKind, OrderKind, type Run, RunPhase } from "./types.ts";

/**
 * Orders a run to stop. The run occupies its resources until it is released. `inputs`:
 * what led to the decision, for the log.
 */
export function stopRun(
  state: CellState,
  run: Run,
  { now, inputs }: { now: number; inputs?: Record<string, unknown> },
): void {
  if (run.phase === RunPhase.Stopping) return;
  run.phase = RunPhase.Stopping;
  run.isStopAcknowledged = false;
  run.lastChangedAt = now;
  state.stoppingRuns.add(run);
  sendStop(state, run);
  addDecision(state, {
    kind: DecisionKind.Stopped,
    subject: run.task,
    inputs: { run: run.number, endpoint: run.endpoint.info.id, ...inputs },
  });
}

/** Issues a stop order unless one is in flight. */
export function sendStop(state: CellState, run: Run): void {
  if (run.isStopOrderInFlight) return;
  run.isStopOrderInFlight = true;
  state.output.orders.push({ kind: OrderKind.Stop, run });
}
