import { MAX_RUNS_PER_RECORD } from "./constants.ts";

/** Splits runs of one endpoint into the lists of several records. */
export function splitRuns<Run>(runs: readonly Run[]): Run[][] {
  const lists: Run[][] = [];
  for (let start = 0; start < runs.length; start += MAX_RUNS_PER_RECORD) {
    lists.push(runs.slice(start, start + MAX_RUNS_PER_RECORD));
  }
  return lists;
}
