import { type Outcome, Verdict } from "../base/mod.ts";
import { CLOCK_SKEW_MS, KEY_RETENTION_MS } from "./constants.ts";
import { findKeyShard, parseKey } from "./key.ts";
import {
  type KeyBegin,
  type KeyRecord,
  type KeyState,
  KeyStateKind,
} from "./types.ts";

/** Stores the outcomes of requests whose keys have their home at this entry. */
export class KeyHome {
  readonly #records = new Map<string, KeyRecord>();

  /** Number of stored keys. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Registers a request, or returns the state of an earlier one with its key.
   * `tenure`: time from which the records of the key's shard are complete, in
   * Unix milliseconds. A key created before that may have been used without a
   * record here, so its state is `Unknown`, never `New`.
   */
  begin(
    registration: KeyBegin,
    options: { tenure: number; now: number },
  ): KeyState {
    const record = this.#records.get(registration.key);
    if (record) return describeRecord(record, registration);
    const { createdAt } = parseKey(registration.key)!;
    const predatesTenure = createdAt <= options.tenure + CLOCK_SKEW_MS;
    const isExpired = createdAt <= options.now - KEY_RETENTION_MS;
    if (predatesTenure || isExpired) return { kind: KeyStateKind.Unknown };
    const expires = options.now + KEY_RETENTION_MS + CLOCK_SKEW_MS;
    this.#records.set(registration.key, { begin: registration, expires });
    return { kind: KeyStateKind.New };
  }

  /**
   * Records the outcome of a request; if it did not run, releases its key. Has
   * no effect unless `token` is that of the key's registration.
   */
  finish(
    key: string,
    token: string,
    options: { outcome: Outcome },
  ): void {
    const { outcome } = options;
    const record = this.#records.get(key);
    if (record?.begin.token !== token) return;
    if (outcome.verdict === Verdict.NotRun) this.#records.delete(key);
    else record.outcome = outcome;
  }

  /** Lists the records of a shard's keys. */
  listShardRecords(shard: number): KeyRecord[] {
    return [...this.#records].flatMap(([key, record]) =>
      findKeyShard(key) === shard ? [record] : []
    );
  }

  /** Adds the records of a former home. */
  adopt(records: KeyRecord[]): void {
    for (const record of records) this.#records.set(record.begin.key, record);
  }

  /** Removes expired keys. */
  expire(now: number): void {
    for (const [key, record] of this.#records) {
      if (now >= record.expires) this.#records.delete(key);
    }
  }
}

function describeRecord(
  record: KeyRecord,
  registration: KeyBegin,
): KeyState {
  const isSameRequest = record.begin.team === registration.team &&
    record.begin.fingerprint === registration.fingerprint;
  if (!isSameRequest) return { kind: KeyStateKind.Reused };
  if (record.outcome) {
    return { kind: KeyStateKind.Finished, outcome: record.outcome };
  }
  // The same token: a retry of the registration that created the record.
  if (record.begin.token === registration.token) {
    return { kind: KeyStateKind.New };
  }
  return { kind: KeyStateKind.InProgress };
}
