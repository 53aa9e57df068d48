import type { Outcome } from "../base/mod.ts";

/** Announces a request that came with an idempotency key. */
export interface KeyBegin {
  key: string;
  /** Identifies this announcement, so that it may be repeated. */
  token: string;
  team: string;
  fingerprint: string;
}

/** Where a key stands when a request comes with it. */
export enum KeyStandingKind {
  /** Never seen: the request may run. */
  New = "new",
  /** A request with this key has not ended yet. */
  InProgress = "in_progress",
  /** A request with this key has ended. */
  Finished = "finished",
  /** The key is older than what this home can know. */
  Unknown = "unknown",
  /** The key came earlier with another request. */
  Reused = "reused",
}

/** What a home remembers of a key. */
export interface KeyRecord {
  begin: KeyBegin;
  outcome?: Outcome;
  /** When the key may be forgotten, in milliseconds since the Unix epoch. */
  expires: number;
}

/** The key history of one shard, on its way to the shard's next owner. */
export interface KeyTransfer {
  id: string;
  shard: number;
  /** Since when the history is complete. */
  tenure: number;
  records: KeyRecord[];
}

/** Standing of a key, with the outcome if there is one. */
export interface KeyStanding {
  kind: KeyStandingKind;
  outcome?: Outcome;
}
