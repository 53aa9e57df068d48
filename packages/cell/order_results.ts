import { match, P } from "ts-pattern";
import {
  ADVICE_RETRY_MS,
  ENDPOINT_PAUSE_MS,
  MAX_ADVICE_BACKOFF_FACTOR,
  RUNS_PER_TERM,
} from "./constants.ts";
import { noteAdviceCounts } from "./advice_choice.ts";
import { applyRepeatAnswer } from "./gang_starts.ts";
import { noteStartCarriedOut, settleStartLease } from "./order_effects.ts";
import { type CurrentTime, releaseRun } from "./task_ends.ts";
import type { CellState } from "./state.ts";
import { findTask } from "./stages.ts";
import {
  type AdviceAnswer,
  PaceResult,
  type Run,
  RunPhase,
  type Stage,
  StartResult,
  StopResult,
} from "./types.ts";

/** Applies the result of a start order. */
export function applyStartAnswer(
  state: CellState,
  run: Run,
  options: {
    result: StartResult;
    time: CurrentTime;
  },
): void {
  const { result } = options;
  const { now } = options.time;
  settleStartLease(run, { result, now });
  if (run.endpoint.runs.get(run.task) !== run) return;
  run.lastChangedAt = now;
  if (applyRepeatAnswer(run, result)) {
    if (result !== StartResult.Unavailable) {
      applyRefusal(state, run, { result, now });
    }
    return;
  }
  if (result === StartResult.Started) {
    const isUnconfirmed = run.phase === RunPhase.Starting ||
      run.phase === RunPhase.Unacknowledged;
    if (isUnconfirmed) run.phase = RunPhase.Running;
    noteStartCarriedOut(run, now);
    run.progressAt = now;
    const taskRef = findTask(state, run.task);
    if (taskRef) taskRef.stage.job.hasStarted = true;
    return;
  }
  if (result === StartResult.Unknown) {
    if (run.phase === RunPhase.Starting) run.phase = RunPhase.Unacknowledged;
    return;
  }
  applyRefusal(state, run, { result, now });
  const hasFailed = result !== StartResult.Superseded;
  releaseRun(state, run, { now, hasFailed, reason: result });
}

/**
 * Applies the result of a stop order. `bornAt`: the endpoint's lifetime when the
 * order was sent; an acknowledgement by a former lifetime has no effect.
 */
export function applyStopAnswer(
  run: Run,
  options: { result: StopResult; bornAt: number; now: number },
): void {
  run.isStopOrderInFlight = false;
  run.lastChangedAt = options.now;
  const isAcknowledged = options.result === StopResult.Acknowledged &&
    options.bornAt === run.endpoint.bornAt;
  if (isAcknowledged) run.isStopAcknowledged = true;
}

/** Applies the result of a pace order, which is retried until acknowledged. */
export function applyPaceAnswer(
  run: Run,
  options: { result: PaceResult; percent: number },
): void {
  run.isPaceOrderInFlight = false;
  if (options.result === PaceResult.Acknowledged) run.pace = options.percent;
}

/** Applies the policy service's answer; without an answer, sets a backoff. */
export function applyAdvice(
  state: CellState,
  stage: Stage,
  options: {
    endpoints: readonly string[];
    answer: AdviceAnswer | undefined;
    now: number;
  },
): void {
  const { advice } = stage;
  const { answer, endpoints, now } = options;
  advice.callsInFlight--;
  if (!answer) {
    advice.failures++;
    const backoffFactor = Math.min(advice.failures, MAX_ADVICE_BACKOFF_FACTOR);
    advice.retryAt = now + ADVICE_RETRY_MS * backoffFactor;
    return;
  }
  advice.failures = 0;
  const newlyNamed = endpoints.filter((id) => !advice.askedEndpoints.has(id));
  const allowed = new Set(answer.tickets.map(({ endpoint }) => endpoint));
  noteAdviceCounts(state, stage.job.spec.queue.name, {
    named: newlyNamed.length,
    allowed: newlyNamed.filter((id) => allowed.has(id)).length,
  });
  for (const endpoint of endpoints) advice.askedEndpoints.add(endpoint);
  for (const { endpoint, ticket } of answer.tickets) {
    const bornAt = state.endpoints.get(endpoint)?.bornAt ?? 0;
    const expiresAt = now + answer.validMs;
    advice.allowedEndpoints.set(endpoint, { ticket, bornAt, expiresAt });
  }
}

function applyRefusal(
  state: CellState,
  run: Run,
  options: { result: StartResult; now: number },
): void {
  const { endpoint } = run;
  const taskRef = findTask(state, run.task);
  match(options.result)
    .with(StartResult.OldRun, () => {
      // The highest run number that the endpoint has seen is not known: the
      // next run skips some numbers to exceed it.
      if (taskRef) taskRef.task.lastRun += RUNS_PER_TERM / 10;
    })
    .with(StartResult.TicketExpired, () => {
      const ticket = taskRef?.stage.advice.allowedEndpoints.get(
        endpoint.info.id,
      );
      if (ticket) ticket.expiresAt = 0;
    })
    .with(StartResult.OtherLifetime, () => {
      endpoint.hasAcceptedFence = false;
    })
    .with(
      P.union(StartResult.Unavailable, StartResult.NoRoom),
      () => {
        endpoint.pausedUntil = options.now + ENDPOINT_PAUSE_MS;
      },
    )
    .otherwise(() => {});
}
