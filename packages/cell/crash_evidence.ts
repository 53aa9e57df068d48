import {
  CLEARED_LIKELIHOOD,
  CRASHING_TASK_ODDS,
  FALSE_POSITIVE_RATE,
  LATE_CRASH_LIKELIHOOD,
  MAX_CRASH_DELAY_MS,
  SUSPECT_WINDOW_MS,
  TRIAL_PROBABILITY,
} from "./constants.ts";
import type { TaskCrashes } from "./types.ts";

/** The crashes of a task that count, and whether a run has outlived its probation. */
type Counts = Pick<TaskCrashes, "counted" | "clearedRun">;

/**
 * What would have crashed an endpoint right then, had a suspect not been there. All
 * fields are about the endpoints of one service.
 */
export interface CrashBackground {
  /** Background rate: events that no task caused, per endpoint and millisecond. */
  ratePerMs: number;
  /** Time between the last sign of life and the loss of contact, in milliseconds. */
  widthMs: number;
  /** Fraction of the other endpoints that were lost at the same moment. */
  lostFraction: number;
  /** Sum of the probabilities that each of the other suspects crashes endpoints. */
  otherSuspicion: number;
}

/**
 * Estimates how likely a start would have been followed by such a crash although its
 * task is harmless, relative to a task that crashes endpoints: the inverse of the
 * likelihood ratio, at most 1. `isRightBefore`: the endpoint showed no sign of life
 * later than `MAX_CRASH_DELAY_MS` after the start.
 */
export function estimateChance(
  background: CrashBackground,
  { isRightBefore }: { isRightBefore: boolean },
): number {
  const { ratePerMs, widthMs, lostFraction, otherSuspicion } = background;
  const windowMs = isRightBefore ? MAX_CRASH_DELAY_MS : SUSPECT_WINDOW_MS;
  const likelihood = isRightBefore ? 1 : LATE_CRASH_LIKELIHOOD;
  const chance = ratePerMs * (windowMs + widthMs) + lostFraction +
    otherSuspicion;
  return Math.min(1, Number((chance / likelihood).toPrecision(3)));
}

/**
 * Sums the evidence that a task crashes endpoints: the logarithm of the likelihood
 * ratio over its crashes. A run that outlived its probation ends the sum and leaves
 * evidence to the contrary.
 */
export function sumEvidence({ counted, clearedRun }: Counts): number {
  const cleared = clearedRun > 0 ? Math.log(CLEARED_LIKELIHOOD) : 0;
  return counted.reduce((sum, { chance }) => sum - Math.log(chance), cleared);
}

/** Estimates the probability that a task crashes endpoints, 0 to 1. */
export function estimateProbability(crashes: Counts): number {
  const odds = CRASHING_TASK_ODDS * Math.exp(sumEvidence(crashes));
  return odds / (1 + odds);
}

/**
 * Returns whether a task is suspected so strongly that it is tried apart from other
 * work. Any other one starts as if nothing had crashed.
 */
export function isStrongSuspect(crashes: TaskCrashes): boolean {
  return crashes.counted.length > 0 &&
    estimateProbability(crashes) >= TRIAL_PROBABILITY;
}

/**
 * Returns whether a task with this sum of evidence is given up. A job must not fail for what it did not cause:
 * the likelihood ratio of a harmless task ever exceeds 1 / `FALSE_POSITIVE_RATE` with
 * at most that probability (Ville's inequality).
 */
export function isProvenCause(evidence: number): boolean {
  return evidence >= -Math.log(FALSE_POSITIVE_RATE);
}
