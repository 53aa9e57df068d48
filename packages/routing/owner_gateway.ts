import type { Outcome } from "../base/mod.ts";
import type { Attempt, ReservationRequest } from "../engine/mod.ts";
import type { OwnerCandidate } from "./types.ts";

/** Access to the entries that own endpoints: this one and its peers. */
export abstract class OwnerGateway {
  /** Lists the entries that may own endpoints at present. */
  abstract listCandidates(now: number): OwnerCandidate[];

  /** Runs an attempt on an owner; never throws. */
  abstract runAttempt(
    owner: OwnerCandidate,
    attempt: Attempt,
  ): Promise<Outcome>;

  /**
   * Cancels an attempt on an owner; never throws. `expires` is the attempt's
   * deadline, in milliseconds since the Unix epoch.
   */
  abstract cancelAttempt(
    owner: OwnerCandidate,
    attempt: { id: string; expires: number },
  ): Promise<void>;

  /**
   * Reserves resources for tasks of a gang on an owner; returns for how many
   * tasks they were reserved.
   */
  abstract reserve(
    owner: OwnerCandidate,
    request: ReservationRequest,
  ): Promise<number>;

  /** Releases the reservation with the id `hold`; never throws. */
  abstract release(owner: OwnerCandidate, hold: string): Promise<void>;
}
