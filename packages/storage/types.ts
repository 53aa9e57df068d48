/** One value of the store. */
export interface StoredItem {
  key: string;
  value: string;
  /** Revision of the last write to this key. */
  revision: number;
}

/** One page of items, in the order of their keys. */
export interface ItemPage {
  items: StoredItem[];
  /** True when more items follow the last one. */
  hasMore: boolean;
  /** Revision of the store when it answered. */
  revision: number;
}

/** One change of a key; without a value the key was removed. */
export interface StoreChange {
  key: string;
  value?: string;
  revision: number;
}

/** What a watch brought. */
export interface WatchResult {
  changes: StoreChange[];
  /** Where the next watch goes on. */
  revision: number;
}

/** Writes that take effect together, if no expected revision has changed. */
export interface Transaction {
  /** Expected revisions; 0 expects that the key does not exist. */
  expected: { key: string; revision: number }[];
  /** `lease` 0 or none: the item stays until it is removed. */
  puts: { key: string; value: string; lease?: number }[];
  deletes: string[];
}

/** How a transaction ended. */
export enum TransactionResult {
  Applied = "applied",
  /** An expected revision did not hold; nothing was written. */
  Conflict = "conflict",
  /** The lease of a put has ended; nothing was written. */
  NoLease = "no_lease",
}

/** Outcome of a transaction with the revision it made. */
export interface TransactionOutcome {
  result: TransactionResult;
  revision: number;
}
