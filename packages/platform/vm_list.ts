import type { VmListing } from "./types.ts";

/** Client of the platform's VM list, which lags behind the actual state. */
export abstract class VmList {
  /**
   * Fetches the changes since a revision; 0 fetches the whole list.
   *
   * @throws {NotSentError | UnknownEffectError} when the call fails
   * @throws {FormatError} when the answer cannot be parsed
   */
  abstract fetchChanges(since: number): Promise<VmListing>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
