import type { HistoryEvent } from "../standins/endpoint_host.ts";
import type { ClientRecord } from "./client.ts";

/** Limits that a history must respect. */
export interface HistoryLimits {
  /** Most running tasks of each team, as configured. */
  teams: Record<string, number>;
}

/**
 * Checks the records of clients against the history of the endpoints, without
 * any data from the scheduler; returns one line for each fault.
 */
export function checkHistory(
  records: ClientRecord[],
  history: HistoryEvent[],
  limits: HistoryLimits,
): string[] {
  const starts = countStarts(history);
  return [
    ...history.filter((line) => line.event === "violation").map((line) =>
      `${line.endpoint}: ${line.detail} (${line.task})`
    ),
    ...findLimitFaults(history, limits),
    ...records.flatMap((record) => findRecordFaults(record, starts)),
  ];
}

function countStarts(history: HistoryEvent[]): Map<string, number> {
  const starts = new Map<string, number>();
  for (const line of history) {
    if (line.event !== "start" || line.ref === "") continue;
    starts.set(line.ref, (starts.get(line.ref) ?? 0) + 1);
  }
  return starts;
}

function findLimitFaults(
  history: HistoryEvent[],
  limits: HistoryLimits,
): string[] {
  const faults: string[] = [];
  const runningByTeam = new Map<string, number>();
  for (const line of history) {
    if (line.event !== "start" && line.event !== "end") continue;
    const change = line.event === "start" ? 1 : -1;
    const count = (runningByTeam.get(line.team) ?? 0) + change;
    runningByTeam.set(line.team, count);
    const limit = limits.teams[line.team] ?? 0;
    if (change > 0 && count > limit) {
      faults.push(`${line.team} runs ${count} tasks, limit ${limit}`);
    }
  }
  return faults;
}

function findRecordFaults(
  record: ClientRecord,
  starts: Map<string, number>,
): string[] {
  const name = `request ${record.ref || record.queue} of ${record.team}`;
  const faults = record.faults.map((fault) => `${name}: ${fault}`);
  if (record.ref === "") return faults;
  const count = starts.get(record.ref) ?? 0;
  if (count > 1) faults.push(`${name}: started ${count} times`);
  if (record.verdict === "not_run" && count > 0) {
    faults.push(`${name}: reported as not run (${record.cause}), but it ran`);
  }
  if (record.verdict === "ran" && count !== 1) {
    faults.push(`${name}: reported as run, but it started ${count} times`);
  }
  return faults;
}
