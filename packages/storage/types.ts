/** Options of a watch. */
export interface WatchOptions {
  /** Revision after which changes are returned. */
  after: number;
  /** Longest time until the answer, in milliseconds. */
  waitMs: number;
  /** Timeout in milliseconds, if it differs from that of other watches. */
  timeoutMs?: number;
}

/** Options of a read of a page of items. */
export interface ListOptions {
  /** Reads only the items whose keys follow this one. */
  after?: string;
  /** Timeout in milliseconds, if a page may take longer than other calls. */
  timeoutMs?: number;
}

/** One key of the store with its value. */
export interface StoredItem {
  key: string;
  value: string;
  /** Revision of the last write to this key. */
  revision: number;
  /** The stored bytes are not UTF-8, and `value` is empty. */
  isUnreadable?: boolean;
}

/** One page of items, sorted by key. */
export interface ItemPage {
  items: StoredItem[];
  /** True when more items follow the last one. */
  hasMore: boolean;
  /** Revision of the store at the time of the answer. */
  revision: number;
}

/** One change of a key; if `value` is absent, the key was deleted. */
export interface StoreChange {
  key: string;
  value?: string;
  revision: number;
}

/** Result of one watch; `changes` is empty if the wait ended without any. */
export interface WatchResult {
  changes: StoreChange[];
  /** Revision from which the next watch continues. */
  revision: number;
}

/** Writes that are applied atomically if all expected revisions match. */
export interface Transaction {
  /** Expected revision of each key; 0: the key must not exist. */
  expected: { key: string; revision: number }[];
  /** Items to write; those without a lease, or with lease 0, do not expire. */
  puts: { key: string; value: string; lease?: number }[];
  /** Keys to delete. */
  deletes: string[];
}

/** Whether a transaction was applied. */
export enum TransactionResult {
  Applied = "applied",
  /** An expected revision did not match; nothing was written. */
  Conflict = "conflict",
  /** The lease of a put no longer exists; nothing was written. */
  NoLease = "no_lease",
}

/** Result of a transaction and the revision of its writes if applied. */
export interface TransactionOutcome {
  result: TransactionResult;
  revision: number;
}
