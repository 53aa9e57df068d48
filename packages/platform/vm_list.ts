import type { VmListing } from "./types.ts";

/** The platform's lagging list of VMs. */
export abstract class VmList {
  /**
   * Fetches what changed since a revision; 0 fetches the whole list.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  abstract fetch(since: number): Promise<VmListing>;

  /** Frees the connections. */
  abstract close(): Promise<void>;
}
