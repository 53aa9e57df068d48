import type { VmListing } from "./types.ts";

/** Client of the platform's VM list, which lags behind the actual state. */
export abstract class VmList {
  /**
   * Fetches the changes since a revision; 0 fetches the whole list.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer arrives
   */
  abstract fetchChanges(since: number): Promise<VmListing>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
