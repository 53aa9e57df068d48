import { MAX_RUNS_PER_RECORD } from "./constants.ts";

/** Splits runs, pairs of task name and run number, into the lists of several records. */
export function splitRuns(
  runs: readonly [string, number][],
): [string, number][][] {
  const lists: [string, number][][] = [];
  for (let start = 0; start < runs.length; start += MAX_RUNS_PER_RECORD) {
    lists.push(runs.slice(start, start + MAX_RUNS_PER_RECORD));
  }
  return lists;
}
