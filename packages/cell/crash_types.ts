import type { SuspectRun } from "./suspects.ts";

/** How far a crash has been judged. */
export enum CrashPhase {
  Noted = "noted",
  /** The journal holds what is known so far, unless the endpoint is only missing. */
  Recorded = "recorded",
  /** The evidence is complete; from then on blame is only taken back. */
  Settled = "settled",
  /** A former owner noted it. */
  Restored = "restored",
}

/** Loss of contact with an endpoint. Times: steady clock, in ms. */
export interface Loss {
  endpoint: string;
  /** Start of the lifetime, in Unix milliseconds. */
  bornAt: number;
  /** Last sign of life. */
  aliveAt: number;
  /** When contact was lost, or when the end of the lifetime was heard of. */
  lostAt: number;
  suspects: SuspectRun[];
}

/** The loss of an endpoint of a service. */
export interface ServiceLoss extends Loss {
  service: string;
}

/** The end of an endpoint's lifetime without notice. */
export interface Crash extends ServiceLoss {
  /** `lostAt` as the time of day, in Unix milliseconds. */
  lostAtUnix: number;
  /** When the end of the lifetime was heard of. */
  notedAt: number;
  /**
   * What it adds to the number of events that crash endpoints: 1 for a lone crash, less
   * for one of several endpoints that were lost together.
   */
  eventShare: number;
  /** Probability that each suspect crashes endpoints, as it was before this crash. */
  suspicions: ReadonlyMap<string, number>;
  /** Number of runs that were lost, suspects included. */
  runs: number;
  /** The endpoint is only missing from the list, and its lifetime may answer again. */
  isMissing: boolean;
  phase: CrashPhase;
}
