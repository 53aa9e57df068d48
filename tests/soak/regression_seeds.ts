/** A seed that failed once, with what it takes to play it again. */
export interface RegressionSeed {
  seed: number;
  seconds: number;
  entries: number;
  endpoints: number;
  /** Cause of the failure, in one line. */
  cause: string;
}

/**
 * Seeds that failed once. The schedule of the faults is the same in each run;
 * the programs' own timing is not.
 */
export const REGRESSION_SEEDS: RegressionSeed[] = [
  {
    seed: 120,
    seconds: 25,
    entries: 4,
    endpoints: 5,
    cause: "A start reached the endpoint's next lifetime and counted as lost " +
      "with the former one, so the task was started elsewhere beside it.",
  },
];
