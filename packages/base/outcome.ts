import { MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS } from "./constants.ts";
import type { Random } from "./random.ts";
import { type Answer, Cause, type Outcome, Verdict } from "./types.ts";

/** Returns the outcome of a request that certainly did not run. */
export function makeNotRunOutcome(
  cause: Cause,
  detail: string,
  options: { retryAfterMs?: number } = {},
): Outcome {
  return { verdict: Verdict.NotRun, cause, detail, answers: [], ...options };
}

/** Returns the outcome of a request that may have run. */
export function makeMayHaveRunOutcome(
  cause: Cause,
  detail: string,
  options: { retryAfterMs?: number } = {},
): Outcome {
  return {
    verdict: Verdict.MayHaveRun,
    cause,
    detail,
    answers: [],
    ...options,
  };
}

/** Returns the outcome of a request that ran, with its complete answers. */
export function makeRanOutcome(
  answers: Answer[],
  cause = Cause.Completed,
): Outcome {
  return { verdict: Verdict.Ran, cause, detail: "", answers };
}

/**
 * Returns a retry delay in milliseconds: `delayMs` times a random factor from 1
 * to 2, clamped to the shortest and longest retry delay.
 */
export function computeRetryAfter(delayMs: number, random: Random): number {
  const jitteredMs = delayMs * (1 + random.drawFloat());
  const boundedMs = Math.max(MIN_RETRY_AFTER_MS, jitteredMs);
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, boundedMs));
}
