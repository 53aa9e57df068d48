import type { Outcome } from "../base/mod.ts";

/** Registration of a request with an idempotency key. */
export interface KeyBegin {
  key: string;
  /** Identifies this registration and makes its retries idempotent. */
  token: string;
  team: string;
  fingerprint: string;
}

/** State of a key when a request with it arrives. */
export enum KeyStateKind {
  /** The key is unused: the request may run. */
  New = "new",
  /** A request with this key is in flight. */
  InProgress = "in_progress",
  /** A request with this key has ended. */
  Finished = "finished",
  /** The key is older than this home's records, or has expired. */
  Unknown = "unknown",
  /** The key was used earlier for a different request. */
  Reused = "reused",
}

/** Stored record of a key at its home. */
export interface KeyRecord {
  begin: KeyBegin;
  outcome?: Outcome;
  /** When the record expires, in milliseconds since the Unix epoch. */
  expires: number;
}

/** Key records of one shard, transferred to the shard's next owner. */
export interface KeyTransfer {
  id: string;
  shard: number;
  /** Time since which the records are complete, in Unix milliseconds. */
  tenure: number;
  records: KeyRecord[];
}

/** State of a key, with the outcome if its request has finished. */
export interface KeyState {
  kind: KeyStateKind;
  outcome?: Outcome;
}
