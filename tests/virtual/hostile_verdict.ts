import { type JobSpec, JobState } from "../../packages/jobs/mod.ts";
import type { HostileScenario } from "./hostile_scenario.ts";

/** Crashes by one task after which its job may be given up. */
const CRASHES_TO_GIVE_UP = 2;

/** What a scenario broke, by group of invariants. */
export interface HostileVerdict {
  /** Two runs of a task at a time, or one after a recorded completion. */
  twice: string[];
  /** Room of an endpoint, and `maxPerEndpoint`. */
  room: string[];
  quota: string[];
  /** Steps before those that they depend on, tasks of no job. */
  order: string[];
  /** Tasks that crash endpoints and are started without end. */
  crashes: string[];
  /** Jobs shown as failed without a cause. */
  failed: string[];
  /** Accepted jobs without a crashing task that have not ended. */
  unfinished: string[];
}

/** Judges a scenario that has run. */
export function assessScenario(scenario: HostileScenario): HostileVerdict {
  const { violations, roomViolations } = scenario.site.checker;
  const isQuota = (text: string) => text.includes("exceed the quota");
  const isTwice = (text: string) =>
    / runs on /.test(text) || text.endsWith("started again after it completed");
  return {
    twice: violations.filter(isTwice),
    room: roomViolations.filter((text) => !isQuota(text)),
    quota: roomViolations.filter(isQuota),
    order: violations.filter((text) =>
      !isTwice(text) && !roomViolations.includes(text)
    ),
    crashes: scenario.site.crashes.listViolations(),
    failed: listFailedWithoutCause(scenario),
    unfinished: listUnfinished(scenario),
  };
}

function listFailedWithoutCause(scenario: HostileScenario): string[] {
  const { failures, crashes, crashingTasks } = scenario.site;
  const problems: string[] = [];
  for (const [id, job] of scenario.accepted) {
    if (scenario.findState(id) !== JobState.Failed) continue;
    const hasCrashed = [...crashingTasks].some((task) =>
      task.startsWith(`${id}.`) &&
      crashes.countCrashes(task) >= CRASHES_TO_GIVE_UP
    );
    if (hasCrashed || mayHaveFailed(job, failures)) continue;
    problems.push(`${id} is shown as failed without a cause`);
  }
  return problems;
}

/** Tells whether a task, or a gang, of a job failed as often as its queue allows. */
export function mayHaveFailed(
  { id, queue, steps }: JobSpec,
  failures: ReadonlyMap<string, ReadonlySet<number>>,
): boolean {
  return steps.some(({ tasks, gang }, step) => {
    const failedRuns = Array.from(
      { length: tasks },
      (_, index) =>
        failures.get(`${id}.0.${step}.${index}`) ?? new Set<number>(),
    );
    const counts = gang
      ? [new Set(failedRuns.flatMap((runs) => [...runs])).size]
      : failedRuns.map(({ size }) => size);
    return Math.max(...counts) >= queue.attempts;
  });
}

function listUnfinished(scenario: HostileScenario): string[] {
  const { crashingTasks } = scenario.site;
  const problems: string[] = [];
  for (const id of scenario.accepted.keys()) {
    const state = scenario.findState(id);
    const isEnded = state === JobState.Completed || state === JobState.Failed ||
      state === JobState.Cancelled;
    const isExcused = [...crashingTasks].some((task) =>
      task.startsWith(`${id}.`)
    );
    if (!isEnded && !isExcused) problems.push(`${id} is ${state ?? "unknown"}`);
  }
  return problems;
}
