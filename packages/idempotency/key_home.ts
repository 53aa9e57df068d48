import { type Outcome, Verdict } from "../base/mod.ts";
import { CLOCK_SKEW_MS, KEY_RETENTION_MS } from "./constants.ts";
import { findKeyShard, parseKey } from "./key.ts";
import {
  type KeyBegin,
  type KeyRecord,
  type KeyStanding,
  KeyStandingKind,
} from "./types.ts";

/** Remembers the outcomes of requests by idempotency key. */
export class KeyHome {
  readonly #records = new Map<string, KeyRecord>();

  /** Number of keys that are remembered. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Registers a request, or tells how an earlier one with its key stands.
   * `tenure` is when this entry became the key's home. A key that may have
   * been used at an earlier home is unknown, never new.
   */
  begin(
    begin: KeyBegin,
    options: { tenure: number; now: number },
  ): KeyStanding {
    const record = this.#records.get(begin.key);
    if (record) return describeRecord(record, begin);
    const { madeAt } = parseKey(begin.key)!;
    const isOlder = madeAt <= options.tenure + CLOCK_SKEW_MS;
    const isForgotten = madeAt <= options.now - KEY_RETENTION_MS;
    if (isOlder || isForgotten) return { kind: KeyStandingKind.Unknown };
    const expires = options.now + KEY_RETENTION_MS + CLOCK_SKEW_MS;
    this.#records.set(begin.key, { begin, expires });
    return { kind: KeyStandingKind.New };
  }

  /** Records how the request ended; one that did not run frees its key. */
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

  /** Lists what is remembered of a shard's keys. */
  listOfShard(shard: number): KeyRecord[] {
    return [...this.#records].flatMap(([key, record]) =>
      findKeyShard(key) === shard ? [record] : []
    );
  }

  /** Takes over what another home remembered. */
  adopt(records: KeyRecord[]): void {
    for (const record of records) this.#records.set(record.begin.key, record);
  }

  /** Forgets keys whose time is over. */
  expire(now: number): void {
    for (const [key, record] of this.#records) {
      if (now >= record.expires) this.#records.delete(key);
    }
  }
}

function describeRecord(record: KeyRecord, begin: KeyBegin): KeyStanding {
  const isSame = record.begin.team === begin.team &&
    record.begin.fingerprint === begin.fingerprint;
  if (!isSame) return { kind: KeyStandingKind.Reused };
  if (record.outcome) {
    return { kind: KeyStandingKind.Finished, outcome: record.outcome };
  }
  if (record.begin.token === begin.token) return { kind: KeyStandingKind.New };
  return { kind: KeyStandingKind.InProgress };
}
