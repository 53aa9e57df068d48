import type {
  CommitResult,
  KeyRange,
  StoreCommit,
  StoreSnapshot,
} from "./types.ts";

/** Client of the platform's key-value store. */
export abstract class Store {
  /**
   * Reads several ranges at the same revision, in one call.
   *
   * @throws {NotSentError | UnknownEffectError} when the call fails
   * @throws {FormatError} when the answer cannot be parsed
   */
  abstract read(ranges: KeyRange[]): Promise<StoreSnapshot>;

  /**
   * Writes several keys atomically if no compared key has changed.
   *
   * @throws {NotSentError} when the write definitely took no effect
   * @throws {UnknownEffectError | FormatError} when it may have taken effect
   */
  abstract commit(commit: StoreCommit): Promise<CommitResult>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
