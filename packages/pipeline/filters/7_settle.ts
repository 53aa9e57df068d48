import {
  assertInvariant,
  Cause,
  makeMayHaveRunOutcome,
  type Outcome,
  Verdict,
} from "../../base/mod.ts";
import type { RequestContext } from "../types.ts";

/**
 * Checks the answers of work that ran: returns the outcome unchanged if every
 * task has an answer and all answers belong to this work, or else an outcome
 * with the verdict "may have run".
 */
export function checkAnswers(
  context: RequestContext,
  outcome: Outcome,
): Outcome {
  const work = context.work;
  if (!work || !context.routed || outcome.verdict !== Verdict.Ran) {
    return outcome;
  }
  const tasks = new Set(outcome.answers.map((answer) => answer.task));
  const allBelongToWork = outcome.answers.every((answer) =>
    answer.task.startsWith(`${work.id}.`)
  );
  if (allBelongToWork && tasks.size === work.tasks) return outcome;
  const detail = "an answer is missing or belongs to other work";
  return makeMayHaveRunOutcome(Cause.EndpointLost, detail);
}

/** Asserts that an outcome with the verdict "not run" has no answers. */
export function assertOutcome(outcome: Outcome): void {
  assertInvariant(
    outcome.verdict !== Verdict.NotRun || outcome.answers.length === 0,
    "An outcome with the verdict not_run has answers",
  );
}
