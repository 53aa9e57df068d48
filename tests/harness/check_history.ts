import type { HistoryEvent } from "../standins/endpoint_host.ts";
import type { ClientRecord } from "./client.ts";

/** Limits that a history must respect. */
export interface HistoryLimits {
  /** Highest number of running tasks of each team, as configured. */
  teams: Record<string, number>;
}

/**
 * Checks the records of clients against the history of the endpoints, without
 * any data from the scheduler; returns one line for each violation.
 */
export function checkHistory(
  records: ClientRecord[],
  history: HistoryEvent[],
  limits: HistoryLimits,
): string[] {
  const starts = countStarts(history);
  return [
    ...history.filter((historyEvent) => historyEvent.event === "violation").map(
      (historyEvent) =>
        `${historyEvent.endpoint}: ${historyEvent.detail} (${historyEvent.task})`,
    ),
    ...findLimitViolations(history, limits),
    ...records.flatMap((record) => findRecordViolations(record, starts)),
  ];
}

function countStarts(history: HistoryEvent[]): Map<string, number> {
  const starts = new Map<string, number>();
  for (const historyEvent of history) {
    if (historyEvent.event !== "start" || historyEvent.ref === "") continue;
    starts.set(historyEvent.ref, (starts.get(historyEvent.ref) ?? 0) + 1);
  }
  return starts;
}

function findLimitViolations(
  history: HistoryEvent[],
  limits: HistoryLimits,
): string[] {
  const violations: string[] = [];
  const runningByTeam = new Map<string, number>();
  for (const historyEvent of history) {
    if (historyEvent.event !== "start" && historyEvent.event !== "end") {
      continue;
    }
    const change = historyEvent.event === "start" ? 1 : -1;
    const count = (runningByTeam.get(historyEvent.team) ?? 0) + change;
    runningByTeam.set(historyEvent.team, count);
    const limit = limits.teams[historyEvent.team] ?? 0;
    if (change > 0 && count > limit) {
      violations.push(
        `${historyEvent.team} runs ${count} tasks, limit ${limit}`,
      );
    }
  }
  return violations;
}

function findRecordViolations(
  record: ClientRecord,
  starts: Map<string, number>,
): string[] {
  const name = `request ${record.ref || record.queue} of ${record.team}`;
  const violations = record.violations.map((violation) =>
    `${name}: ${violation}`
  );
  if (record.ref === "") return violations;
  const count = starts.get(record.ref) ?? 0;
  if (count > 1) violations.push(`${name}: started ${count} times`);
  if (record.verdict === "not_run" && count > 0) {
    violations.push(
      `${name}: reported as not run (${record.cause}), but it ran`,
    );
  }
  if (record.verdict === "ran" && count !== 1) {
    violations.push(`${name}: reported as run, but it started ${count} times`);
  }
  return violations;
}
