import { LinkFault } from "../standins/relay.ts";
import { LinkPair, OWNER, type SoakFault, SoakFaultKind } from "./schedule.ts";

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

const OWNER_FAULT: SoakFault = {
  kind: SoakFaultKind.Kill,
  atMs: 0,
  lastsMs: 0,
  entry: OWNER,
  other: 0,
  pair: LinkPair.EntryEndpoint,
  link: LinkFault.HoldRequests,
  delayMs: 500,
};

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
  {
    name: "take_overs_with_unanswered_starts",
    seed: 2_006,
    seconds: 16,
    faults: [
      ...Array.from({ length: 4 }, (_, other): SoakFault => ({
        ...OWNER_FAULT,
        kind: SoakFaultKind.Link,
        atMs: 4_000,
        lastsMs: 2_500,
        other,
      })),
      { ...OWNER_FAULT, atMs: 5_200 },
      { ...OWNER_FAULT, atMs: 14_000 },
    ],
    cause:
      "Every new owner waits anew for the end of the starts that a former " +
      "owner sent without an answer, so that their jobs wait for longer than " +
      "they may after the load (seed 2006).",
  },
];
