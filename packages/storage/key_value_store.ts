import type {
  ItemPage,
  ListOptions,
  StoredItem,
  Transaction,
  TransactionOutcome,
  WatchOptions,
  WatchResult,
} from "./types.ts";

/**
 * A key-value store with transactions, leases and watches. A method that fails
 * throws `NotSentError` if the call certainly had no effect and
 * `UnknownEffectError` if it may have had one.
 */
export abstract class KeyValueStore {
  /** Reads an item at the newest revision; undefined if it does not exist. */
  abstract get(key: string): Promise<StoredItem | undefined>;

  /** Reads one page of the items whose keys begin with `prefix`. */
  abstract list(prefix: string, options?: ListOptions): Promise<ItemPage>;

  /**
   * Waits up to `waitMs` milliseconds for changes, after revision `after`, of
   * keys that begin with `prefix`.
   *
   * @throws {HistoryGoneError} when the store has compacted these revisions
   */
  abstract watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<WatchResult>;

  /** Commits a transaction: all its writes if its conditions hold, or none. */
  abstract commit(transaction: Transaction): Promise<TransactionOutcome>;

  /** Creates a lease of `ttlMs` milliseconds and returns its id. */
  abstract createLease(ttlMs: number): Promise<number>;

  /** Renews a lease; returns false when it no longer exists. */
  abstract renewLease(lease: number): Promise<boolean>;

  /** Revokes a lease and deletes its keys. */
  abstract endLease(lease: number): Promise<void>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
