import { Cause, Verdict } from "../../packages/base/mod.ts";
import type { Site, SiteRequest } from "./site.ts";

/**
 * Lists the violations that endpoints and entries recorded and those in the
 * outcomes of the requests.
 */
export function findViolations(site: Site): string[] {
  return [
    ...site.endpoints.violations,
    ...site.invariantViolations,
    ...findRequestViolations(site),
  ];
}

function findRequestViolations(site: Site): string[] {
  const violations: string[] = [];
  const startsByRef = new Map<string, number>();
  const tasksByWork = new Map<string, string[]>();
  for (const { ref, task } of site.endpoints.starts) {
    if (ref) startsByRef.set(ref, (startsByRef.get(ref) ?? 0) + 1);
    const work = task.slice(0, task.lastIndexOf("."));
    tasksByWork.set(work, [...tasksByWork.get(work) ?? [], task]);
  }
  for (const [ref, starts] of startsByRef) {
    if (starts > 1) violations.push(`${ref} started ${starts} times`);
  }
  for (const request of site.requests) {
    const { outcome, id } = request;
    if (!outcome) continue;
    site.invariantChecks += 1;
    const starts = tasksByWork.get(id) ?? [];
    const label = `${id} (${request.ref}, ${outcome.cause})`;
    if (outcome.verdict === Verdict.NotRun && starts.length > 0) {
      violations.push(
        `${label}: reported as not run, but ${starts.join()} started`,
      );
    }
    if (outcome.verdict === Verdict.Ran) {
      violations.push(...findAnswerViolations(request, label));
    }
    const revokedAt = request.keyRevokedAt;
    const isRefusal = outcome.verdict !== Verdict.Ran &&
      REVOKED_KEY_REFUSAL_CAUSES.has(outcome.cause);
    if (revokedAt !== undefined && !isRefusal) {
      violations.push(`${label}: accepted with a key revoked at ${revokedAt}`);
    }
  }
  return violations;
}

/**
 * Causes with which a request with a revoked key may be refused: by the check of
 * the key, by an earlier check, or by an entry that has just started and has not
 * received a peer's configuration yet.
 */
const REVOKED_KEY_REFUSAL_CAUSES = new Set([
  Cause.Unauthenticated,
  Cause.UnknownQueue,
  Cause.NotReady,
]);

function findAnswerViolations(request: SiteRequest, label: string): string[] {
  const answers = request.outcome!.answers;
  if (answers.length !== request.tasks) {
    return [`${label}: ${answers.length} answers for ${request.tasks} tasks`];
  }
  return answers.flatMap((answer) => {
    const { ref } = JSON.parse(answer.body);
    return ref === request.ref
      ? []
      : [`${label}: received the answer of ${ref}`];
  });
}
