import {
  assertInvariant,
  Cause,
  makeMayHaveRun,
  type Outcome,
  Verdict,
} from "../../base/mod.ts";
import type { RequestContext } from "../types.ts";

/**
 * Lets an outcome pass only if its answers are whole and belong to the work.
 */
export function settleOutcome(
  context: RequestContext,
  outcome: Outcome,
): Outcome {
  const settled = checkAnswers(context, outcome);
  context.finishKey?.(settled);
  return settled;
}

function checkAnswers(context: RequestContext, outcome: Outcome): Outcome {
  const work = context.work;
  if (!work || !context.routed || outcome.verdict !== Verdict.Ran) {
    return outcome;
  }
  const tasks = new Set(outcome.answers.map((answer) => answer.task));
  const isOwn = outcome.answers.every((answer) =>
    answer.task.startsWith(`${work.id}.`)
  );
  if (isOwn && tasks.size === work.tasks) return outcome;
  const detail = "an answer was not whole or belonged to other work";
  return makeMayHaveRun(Cause.EndpointLost, detail);
}

/** Checks that an outcome keeps the promises of its verdict. */
export function assertOutcome(outcome: Outcome): void {
  assertInvariant(
    outcome.verdict !== Verdict.NotRun || outcome.answers.length === 0,
    "An outcome of work that did not run carries answers",
  );
}
