import { match, P } from "ts-pattern";
import {
  ADVICE_RETRY_MS,
  ENDPOINT_PAUSE_MS,
  MAX_ADVICE_RETRIES,
  RUNS_PER_TERM,
  UNSURE_MS,
} from "./constants.ts";
import { type Present, releaseRun, stopGang } from "./ends.ts";
import type { CellState } from "./state.ts";
import { findTask, getStep } from "./stages.ts";
import { stopRun } from "./stops.ts";
import {
  type AdviceAnswer,
  PaceResult,
  type Run,
  RunPhase,
  type Stage,
  StartResult,
  StopResult,
} from "./types.ts";

/** Applies the answer to an order to start a task. */
export function applyStartAnswer(
  state: CellState,
  run: Run,
  options: { result: StartResult; present: Present },
): void {
  const { result } = options;
  const { now } = options.present;
  if (run.endpoint.runs.get(run.task) !== run) return;
  run.settledAt = now;
  if (result === StartResult.Started) {
    if (run.phase === RunPhase.Starting) run.phase = RunPhase.Running;
    run.progressAt = now;
    const place = findTask(state, run.task);
    if (place) place.stage.job.hasStarted = true;
    return;
  }
  if (result === StartResult.Unknown) {
    if (run.phase === RunPhase.Starting) run.phase = RunPhase.Unsure;
    return;
  }
  noteRefusal(state, run, { result, now });
  releaseRun(state, run, { now, isFault: true, reason: result });
}

/** Applies the answer to an order to stop a run. */
export function applyStopAnswer(
  run: Run,
  options: { result: StopResult; now: number },
): void {
  run.isStopUnderWay = false;
  run.settledAt = options.now;
  if (options.result === StopResult.Acknowledged) run.isStopAcknowledged = true;
}

/** Applies the answer to a change of pace; it is repeated until acknowledged. */
export function applyPaceAnswer(
  run: Run,
  options: { result: PaceResult; percent: number },
): void {
  run.isPaceUnderWay = false;
  if (options.result === PaceResult.Acknowledged) run.pace = options.percent;
}

/** Applies the policy's answer for a stage; nothing came: it is asked again. */
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
  advice.isAsking = false;
  if (!answer) {
    advice.failures++;
    const tries = Math.min(advice.failures, MAX_ADVICE_RETRIES);
    advice.retryAt = now + ADVICE_RETRY_MS * tries;
    return;
  }
  advice.failures = 0;
  for (const endpoint of endpoints) advice.asked.add(endpoint);
  for (const { endpoint, ticket } of answer.tickets) {
    const bornAt = state.endpoints.get(endpoint)?.bornAt ?? 0;
    const expiresAt = now + answer.validMs;
    advice.allowed.set(endpoint, { ticket, bornAt, expiresAt });
  }
}

function noteRefusal(
  state: CellState,
  run: Run,
  options: { result: StartResult; now: number },
): void {
  const { endpoint } = run;
  const place = findTask(state, run.task);
  match(options.result)
    .with(StartResult.OldRun, () => {
      if (place) place.task.lastRun += RUNS_PER_TERM / 10;
    })
    .with(StartResult.TicketExpired, () => {
      const ticket = place?.stage.advice.allowed.get(endpoint.info.id);
      if (ticket) ticket.expiresAt = 0;
    })
    .with(StartResult.OtherLifetime, () => {
      endpoint.isHeld = false;
    })
    .with(
      P.union(StartResult.Unavailable, StartResult.NoRoom),
      () => {
        endpoint.pausedUntil = options.now + ENDPOINT_PAUSE_MS;
      },
    )
    .otherwise(() => {});
}

/** Stops what has had no answer, and is not listed in time either. */
export function settleUnsure(state: CellState, now: number): void {
  for (const endpoint of state.endpoints.values()) {
    for (const run of endpoint.runs.values()) {
      if (run.phase !== RunPhase.Unsure) continue;
      if (now - run.settledAt < UNSURE_MS) continue;
      const place = findTask(state, run.task);
      if (!place || place.task.run !== run) stopRun(state, run, { now });
      else if (getStep(place.stage).gang) stopGang(state, place.stage, { now });
    }
  }
}
