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
  /** Too long for CI: played with `--case` only. */
  isByHand?: boolean;
}

/** Schedule of seed 1041 of the second generator; 4 entries, 5 endpoints. */
const FAULTS_OF_1041 = `
planned_stop 3500 500 2 4 entry_store half_answer 1497
link 9500 1298 -1 4 entry_entry delay 321
link 10842 7581 2 0 entry_entry half_request 1224
planned_stop 12313 5748 1 4 caller_entry silence 874
store_down 12914 7488 2 1 entry_store hold_answers 1285
endpoint_crash 13811 1849 1 4 entry_store cut 423
endpoint_crash 15800 3407 3 4 entry_store cut 1516
pause 16598 4746 1 2 caller_entry half_answer 504
link 18566 551 1 1 entry_entry delay 698
link 18590 1143 2 1 entry_endpoint hold_answers 1444
link 19611 5389 1 1 entry_store half_request 185
endpoint_late 20990 3738 0 3 entry_endpoint silence 2681
endpoint_late 21573 3427 1 3 entry_store half_request 4094
store_late 23297 1703 -1 3 caller_entry hold_requests 528
change_config 23814 1186 2 0 caller_entry half_request 502
planned_stop 24894 106 0 3 caller_entry silence 1369
`;

/** Parses a schedule: one line for each fault, its fields in this order. */
function parseFaults(text: string): SoakFault[] {
  return text.trim().split("\n").map((line) => {
    const [kind, at, lasts, entry, other, pair, link, delay] = line.split(" ");
    return {
      kind: kind as SoakFaultKind,
      atMs: Number(at),
      lastsMs: Number(lasts),
      entry: Number(entry),
      other: Number(other),
      pair: pair as LinkPair,
      link: link as LinkFault,
      delayMs: Number(delay),
    };
  });
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
  {
    name: "seed_1041",
    seed: 1_041,
    seconds: 25,
    faults: parseFaults(FAULTS_OF_1041),
    cause: "Not traced: the owner did nothing for 8.5 s, beside a load of 30.",
    isByHand: true,
  },
];
