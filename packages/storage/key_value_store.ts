import type {
  ItemPage,
  StoredItem,
  Transaction,
  TransactionOutcome,
  WatchResult,
} from "./types.ts";

/**
 * A key-value store with transactions, leases and watches. Every method throws
 * `NotSentError` when nothing was done, and `UnknownEffectError` otherwise.
 */
export abstract class KeyValueStore {
  /** Reads one item at the newest revision, or nothing. */
  abstract get(key: string): Promise<StoredItem | undefined>;

  /** Reads a page of the items whose keys begin with `prefix`. */
  abstract list(prefix: string, after?: string): Promise<ItemPage>;

  /**
   * Waits up to `waitMs` for changes after a revision.
   *
   * @throws {HistoryGoneError} when the store has dropped that history
   */
  abstract watch(
    prefix: string,
    options: { after: number; waitMs: number },
  ): Promise<WatchResult>;

  /** Writes several items under conditions, all or nothing. */
  abstract commit(transaction: Transaction): Promise<TransactionOutcome>;

  /** Grants a lease of some milliseconds and returns its id. */
  abstract createLease(ttlMs: number): Promise<number>;

  /** Renews a lease; false when it has ended. */
  abstract renewLease(lease: number): Promise<boolean>;

  /** Ends a lease and removes its keys. */
  abstract endLease(lease: number): Promise<void>;

  /** Frees the connections. */
  abstract close(): Promise<void>;
}
