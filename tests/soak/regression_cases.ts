import { LinkFault } from "../standins/relay.ts";
import { LinkPair, type SoakFault, SoakFaultKind } from "./schedule.ts";

/** Faults that made the soak fail once, with what it takes to play them again. */
export interface RegressionCase {
  name: string;
  /** Seed of the callers' draws. */
  seed: number;
  seconds: number;
  faults: SoakFault[];
  /** Cause of the failure, in one line. */
  cause: string;
}

function makeCrash(
  crash: { atMs: number; other: number; delayMs: number },
): SoakFault {
  return {
    kind: SoakFaultKind.EndpointCrash,
    lastsMs: 0,
    entry: 0,
    pair: LinkPair.EntryEndpoint,
    link: LinkFault.Cut,
    ...crash,
  };
}

/**
 * Cases that failed once. They hold the faults themselves, so that a change of the
 * generator leaves them as they are.
 */
export const REGRESSION_CASES: RegressionCase[] = [
  {
    name: "restarted_endpoints",
    seed: 120,
    seconds: 12,
    faults: Array.from({ length: 10 }, (_, n) =>
      makeCrash({
        atMs: 3_000 + 800 * n,
        other: n % 5,
        delayMs: [172, 340, 706, 1_034, 1_507][n % 5],
      })),
    cause: "A start reached the endpoint's next lifetime and counted as lost " +
      "with the former one, so the task ran elsewhere beside it (seeds 1, 3 " +
      "and 120 of the first generator).",
  },
];
