import { SERIES_DEFAULTS, type SeriesOptions } from "./series/types.ts";

/** A series that made an earlier version fail, and why it did. */
export interface SeriesCase {
  name: string;
  options: SeriesOptions;
  /** Causes of the failure, in one line each. */
  causes: string[];
  /** Too long for CI: played with `--case` only. */
  isByHand?: boolean;
}

const CAUSES = [
  "Calls left from the default address of the host, so that the policy service took " +
  "those of all entries for one VM's, one after the other.",
  "An endpoint that restarted under its id got no work for 12.5 s, as an acknowledgement " +
  "without an answer might still have arrived.",
  "The room for which tickets were asked was gone at the answer, so that every entry was " +
  "busy with calls that led to nothing.",
];

/** Restarts in series behind cuts, at the size of the users' smallest site and smaller. */
export const SERIES_CASES: SeriesCase[] = [
  {
    name: "restarts_in_series_behind_cuts",
    options: { ...SERIES_DEFAULTS },
    causes: CAUSES,
    isByHand: true,
  },
  {
    name: "few_restarts_in_series_behind_cuts",
    options: {
      ...SERIES_DEFAULTS,
      seed: 3,
      seconds: 15,
      entries: 6,
      endpoints: 17,
      jobsPerSecond: 25,
    },
    causes: CAUSES,
  },
];
