import type {
  CommitResult,
  KeyRange,
  StoreCommit,
  StoreSnapshot,
} from "./types.ts";

/** The platform's key-value service. */
export abstract class Store {
  /**
   * Reads several ranges at one revision, in one call.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  abstract read(ranges: KeyRange[]): Promise<StoreSnapshot>;

  /**
   * Writes several keys at once if no compared key has changed.
   *
   * @throws {NotSentError} when the write certainly took no effect
   * @throws {UnknownEffectError} when it may have taken effect
   */
  abstract commit(commit: StoreCommit): Promise<CommitResult>;

  /** Frees the connections. */
  abstract close(): Promise<void>;
}
