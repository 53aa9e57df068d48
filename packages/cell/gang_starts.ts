import {
  GANG_REPEAT_MS,
  START_CONFIRM_MS,
  START_REPEAT_MS,
} from "./constants.ts";
import { GangStartsName } from "./policies.ts";
import { findTask, getStep } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import { StopReason, stopRun } from "./stop_run.ts";
import { stopGang } from "./task_ends.ts";
import {
  DecisionKind,
  OrderKind,
  type Run,
  RunPhase,
  type Stage,
  StartResult,
} from "./types.ts";
import { explainObstacle } from "./unsent_starts.ts";

/**
 * Settles the runs whose start got no answer and that were not listed in time: repeats
 * the start of a gang's member; stops the whole gang, or a run that is not its task's
 * current one. Any other run is settled by the endpoint's next listing or the end of
 * its lease. Load: of the many starts of a wide gang, one gets no answer.
 */
export function settleUnansweredStarts(
  state: CellState,
  { now, mayStart }: { now: number; mayStart: boolean },
): void {
  for (const endpoint of state.endpoints.values()) {
    // An unanswered start is an unanswered lease too: most endpoints never had one.
    if (!Number.isFinite(endpoint.unansweredLeaseAt)) continue;
    for (const run of endpoint.runs.values()) {
      if (run.phase !== RunPhase.Unacknowledged) continue;
      const stage = findTask(state, run.task)?.stage;
      if (mayStart && stage) sendRepeat(state, stage, { run, now });
      if (now - run.lastChangedAt < START_CONFIRM_MS) continue;
      if (isStartPending(state, run, { now })) continue;
      if (!stage || findTask(state, run.task)?.task.run !== run) {
        stopRun(state, run, { now, reason: StopReason.NoLongerNeeded });
      } else if (getStep(stage).gang) {
        const repeats = run.gangStart?.repeats ?? 0;
        const why = `the start of ${run.task} got no answer` +
          (repeats > 0 ? ` and was repeated ${repeats} times` : "");
        stopGang(state, stage, { now, why });
      }
    }
  }
}

/**
 * Returns whether the start of a gang's member may still be confirmed by the answer to
 * a repeat, so that a listing without the run settles nothing yet.
 */
export function isStartPending(
  state: CellState,
  run: Run,
  { now }: { now: number },
): boolean {
  const stage = findTask(state, run.task)?.stage;
  return run.gangStart?.isRepeatInFlight === true ||
    (stage !== undefined && mayRepeat(state, stage, { run, now }));
}

/**
 * Applies the answer to a repeated start; returns whether it needs nothing else. A
 * refusal tells nothing about the earlier copies of the order, one of which may have
 * been carried out: the endpoint's next listing settles the run.
 */
export function applyRepeatAnswer(
  run: Run,
  result: StartResult,
): boolean {
  const { gangStart } = run;
  if (!gangStart?.isRepeatInFlight) return false;
  gangStart.isRepeatInFlight = false;
  if (result === StartResult.Started || result === StartResult.Unknown) {
    return false;
  }
  // An order that had no effect is repeated again.
  gangStart.isClosed = result !== StartResult.Unavailable;
  return true;
}

/** Orders the start of a gang's member again, at the same lifetime of its endpoint. */
function sendRepeat(
  state: CellState,
  stage: Stage,
  { run, now }: { run: Run; now: number },
): void {
  const { gangStart } = run;
  const isDue = gangStart && !gangStart.isRepeatInFlight &&
    now - run.lastChangedAt >= START_REPEAT_MS &&
    mayRepeat(state, stage, { run, now });
  if (!isDue) return;
  const obstacle = explainObstacle(gangStart.order, {
    state,
    now,
    isRepeat: true,
  });
  if (obstacle) {
    gangStart.isClosed = true;
    return;
  }
  gangStart.repeats++;
  gangStart.isRepeatInFlight = true;
  run.lastChangedAt = now;
  state.output.orders.push({
    kind: OrderKind.RepeatStart,
    start: gangStart.order,
  });
  addDecision(state, {
    kind: DecisionKind.StartRepeated,
    subject: run.task,
    inputs: {
      run: run.number,
      endpoint: run.endpoint.info.id,
      bornAt: run.endpoint.bornAt,
      repeats: gangStart.repeats,
      sinceGangStartMs: Math.round(now - findGangStart(stage, run)),
      ticketLeftMs: Math.round(gangStart.order.ticketEndsAt - now),
    },
  });
}

/**
 * Returns whether the start of a run may be ordered again. Only starts with tickets
 * are: a late copy is harmless in the lifetime that has seen the run, and no other
 * lifetime accepts the ticket.
 */
function mayRepeat(
  state: CellState,
  stage: Stage,
  { run, now }: { run: Run; now: number },
): boolean {
  const { gangStart, endpoint } = run;
  if (state.policies.names.gang_starts !== GangStartsName.Repeat) return false;
  const isOpen = gangStart !== undefined && !gangStart.isClosed &&
    run.phase === RunPhase.Unacknowledged && run.hasTicket &&
    run.sentToBornAt === endpoint.bornAt && endpoint.hasAcceptedFence &&
    findTask(state, run.task)?.task.run === run;
  if (!isOpen) return false;
  const firstSentAt = gangStart.firstSentAt ?? run.startedAt;
  const endsAt = Math.min(
    findGangStart(stage, run) + GANG_REPEAT_MS,
    firstSentAt + state.leaseMs,
    gangStart.order.ticketEndsAt,
  );
  return now < endsAt &&
    stage.tasks.every(({ run: member }) =>
      member !== undefined && member.phase !== RunPhase.Stopping
    );
}

/** Finds when the first start of the run's gang was sent. */
function findGangStart(stage: Stage, { startedAt }: Run): number {
  let gangStartAt = Number.POSITIVE_INFINITY;
  for (const { run } of stage.tasks) {
    const sentAt = run?.gangStart?.firstSentAt;
    if (sentAt !== undefined) gangStartAt = Math.min(gangStartAt, sentAt);
  }
  return Number.isFinite(gangStartAt) ? gangStartAt : startedAt;
}
