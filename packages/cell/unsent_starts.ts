import { isEvacuated } from "./evacuated_domains.ts";
import {
  canAcceptRepeats,
  canAcceptStarts,
  isEligible,
  isOverQuota,
} from "./placement.ts";
import { isOverRoom } from "./room.ts";
import { findTask, getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import { releaseRun } from "./task_ends.ts";
import {
  type Order,
  OrderKind,
  type Run,
  RunPhase,
  type StartOrder,
} from "./types.ts";

/**
 * Lists the start orders whose placement has been committed and that may be sent.
 * Load: the commit takes long, and what the placement relied on changes meanwhile.
 * Tasks that may not be started any more are requeued; for one task of a gang, so
 * are the others.
 */
export function listUnsentStarts(
  state: CellState,
  options: {
    orders: readonly Order[];
    now: number;
    /** The list of endpoints is recent enough to start tasks. */
    mayStart: boolean;
  },
): StartOrder[] {
  const { orders, now, mayStart } = options;
  const starts = orders.filter(isUnsentStart);
  // The last ones are cancelled first: the cell's order puts the most urgent first.
  for (const start of starts.toReversed()) {
    if (!isUnsentStart(start)) continue;
    const reason = mayStart
      ? explainObstacle(start, { state, now })
      : "the plan or the endpoints' records were too old when it was committed";
    if (reason) cancelStart(state, start.run, { starts, now, reason });
  }
  return starts.filter(isUnsentStart);
}

function isUnsentStart(order: Order): order is StartOrder {
  if (order.kind !== OrderKind.Start) return false;
  const { run } = order;
  return run.phase === RunPhase.Starting &&
    run.endpoint.runs.get(run.task) === run;
}

/**
 * Explains why a start may not be sent any more; empty: it may. `isRepeat`: it was
 * sent before, and its endpoint did not answer.
 */
export function explainObstacle(
  { run, ticketEndsAt }: StartOrder,
  { state, now, isRepeat = false }: {
    state: CellState;
    now: number;
    isRepeat?: boolean;
  },
): string {
  const stage = findTask(state, run.task)?.stage;
  if (now >= ticketEndsAt) {
    return "the ticket expired before the placement was committed";
  }
  if (isEvacuated(state, run.endpoint)) {
    return "the failure domain was evacuated before the placement was committed";
  }
  if (isOverRoom(run.endpoint)) {
    return "the endpoint's room shrank before the placement was committed";
  }
  if (isOverQuota(state, run.organisation)) {
    return "the quota was lowered before the placement was committed";
  }
  const canAccept = isRepeat
    ? canAcceptRepeats(run.endpoint, now)
    : canAcceptStarts(run.endpoint, now);
  const isUsable = canAccept && stage && isEligible(run.endpoint, stage);
  if (!isUsable) {
    return "the endpoint took no more starts before the placement was committed";
  }
  return "";
}

/** Requeues the task of a start that was not sent, and those of its whole gang. */
function cancelStart(
  state: CellState,
  run: Run,
  options: { starts: readonly StartOrder[]; now: number; reason: string },
): void {
  const { starts, now, reason } = options;
  const stage = findTask(state, run.task)?.stage;
  const isGang = stage && getStep(stage).gang;
  const runs = isGang
    ? starts.filter(isUnsentStart).map((start) => start.run)
      .filter(({ task }) => findTask(state, task)?.stage === stage)
    : [run];
  for (const unsentRun of runs) {
    releaseRun(state, unsentRun, {
      now,
      hasFailed: false,
      isUnsent: true,
      reason,
    });
  }
}
