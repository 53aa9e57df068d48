import type { Clock } from "../base/mod.ts";
import type { CurrentTime, EndpointInfo } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import {
  type KeyValueStore,
  listAll,
  type StoreChange,
  type StoredItem,
} from "../storage/mod.ts";
import {
  ENDPOINT_RECORDS_RETURN_MS,
  ENDPOINT_WATCH_INTERVAL_MS,
  ENDPOINT_WATCH_MARGIN_MS,
  ENDPOINT_WATCH_WAIT_MS,
  STORE_RETRY_MS,
} from "./constants.ts";
import type { SiteRecords } from "./ports.ts";
import { measureElapsed } from "./suspension_guard.ts";
import { UnconfirmedRecords } from "./unconfirmed_records.ts";

/** Watches the endpoints' records in the store. */
export class EndpointFeed {
  readonly #store: KeyValueStore;
  readonly #records: SiteRecords;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #onChanged: (
    endpoints: EndpointInfo[],
    unconfirmed: ReadonlySet<string>,
  ) => void;
  readonly #getStoreFailedAt: () => number;
  readonly #endpoints = new Map<string, EndpointInfo>();
  /** Revision of the listed record of each endpoint, by key. */
  readonly #revisions = new Map<string, number>();
  /** Revisions of the records that were left out, by key. */
  readonly #ignored = new Map<string, number>();
  readonly #metrics: Metrics;
  readonly #maxAgeMs: number;
  /** When the last answer of the store was asked for; undefined: none yet. */
  #heardAt: CurrentTime | undefined;
  /** Revision of the store in that answer. */
  #heardRevision = 0;
  readonly #unconfirmed = new UnconfirmedRecords();
  #isCurrent = false;
  #isStopped = false;

  constructor(options: {
    store: KeyValueStore;
    records: SiteRecords;
    clock: Clock;
    log: EventLog;
    metrics: Metrics;
    /** Age from which the records are too old to start tasks, in milliseconds. */
    maxAgeMs: number;
    /** Returns when this entry's last failed call to the store ended, in ms. */
    getStoreFailedAt: () => number;
    /**
     * Called with all usable endpoints after each list and each change.
     * `unconfirmed`: ids of those whose records are too old to start tasks there.
     */
    onChanged: (
      endpoints: EndpointInfo[],
      unconfirmed: ReadonlySet<string>,
    ) => void;
  }) {
    this.#store = options.store;
    this.#records = options.records;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#maxAgeMs = options.maxAgeMs;
    this.#onChanged = options.onChanged;
    this.#getStoreFailedAt = options.getStoreFailedAt;
  }

  /** Lists the endpoints, then watches them; lists again if the watch fails. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      try {
        let revision = await this.#list();
        while (!this.#isStopped) {
          revision = await this.#watch(revision);
          await this.#clock.sleep(ENDPOINT_WATCH_INTERVAL_MS);
        }
      } catch (error) {
        this.#log.record(EventCode.EndpointFeedBroken, {
          reason: String(error),
        });
        await this.#clock.sleep(STORE_RETRY_MS);
      }
    }
  }

  /**
   * Returns whether the records are recent enough to start tasks: what an endpoint
   * wrote before that is known. Logs when this changes.
   */
  checkAge(time: CurrentTime): boolean {
    if (!this.#heardAt) return false;
    const ageMs = measureElapsed(this.#heardAt, time);
    const isCurrent = ageMs <= this.#maxAgeMs;
    if (isCurrent !== this.#isCurrent) {
      this.#isCurrent = isCurrent;
      this.#log.record(
        isCurrent
          ? EventCode.EndpointRecordsCurrent
          : EventCode.EndpointRecordsStale,
        { ageMs: Math.round(ageMs), endpoints: this.#endpoints.size },
      );
    }
    return isCurrent;
  }

  /** Stops watching. */
  stop(): void {
    this.#isStopped = true;
  }

  async #list(): Promise<number> {
    const sentAt = this.#getCurrentTime();
    const { endpointPrefix } = this.#records;
    const { items, revision } = await listAll(this.#store, endpointPrefix);
    this.#noteUnconfirmed(items, sentAt);
    this.#heardAt = sentAt;
    this.#heardRevision = revision;
    this.#endpoints.clear();
    this.#revisions.clear();
    for (const item of items) {
      this.#setEndpoint(item);
      this.#revisions.set(item.key, item.revision);
    }
    this.#dropIgnored(items);
    this.#callOnChanged();
    return revision;
  }

  async #watch(after: number): Promise<number> {
    const sentAt = this.#getCurrentTime();
    const { changes, revision } = await this.#store.watch(
      this.#records.endpointPrefix,
      {
        after,
        waitMs: ENDPOINT_WATCH_WAIT_MS,
        timeoutMs: ENDPOINT_WATCH_WAIT_MS + ENDPOINT_WATCH_MARGIN_MS,
      },
    );
    this.#heardAt = sentAt;
    this.#heardRevision = revision;
    for (const change of changes) this.#applyChange(change);
    if (changes.length > 0) this.#callOnChanged();
    return revision;
  }

  /** Applies a change unless the list already held a later record of the key. */
  #applyChange({ key, value, revision }: StoreChange): void {
    if (revision <= (this.#revisions.get(key) ?? 0)) return;
    this.#revisions.delete(key);
    this.#unconfirmed.confirm(key);
    if (value === undefined) {
      this.#endpoints.delete(key);
      this.#ignored.delete(key);
    } else this.#setEndpoint({ key, value, revision });
  }

  /** Drops ignored records that are not listed any more. */
  #dropIgnored(items: readonly StoredItem[]): void {
    const listed = new Set(items.map(({ key }) => key));
    for (const key of this.#ignored.keys()) {
      if (!listed.has(key)) this.#ignored.delete(key);
    }
  }

  /**
   * Notes which of the listed records were not written since the last answer of the
   * store. A first list that follows a failed call to the store trusts none.
   */
  #noteUnconfirmed(items: readonly StoredItem[], sentAt: CurrentTime): void {
    const { now } = sentAt;
    const until = now + ENDPOINT_RECORDS_RETURN_MS;
    if (!this.#heardAt) {
      const failedMsAgo = now - this.#getStoreFailedAt();
      if (failedMsAgo >= ENDPOINT_RECORDS_RETURN_MS) return;
    }
    const from = this.#heardAt
      ? now + this.#maxAgeMs - measureElapsed(this.#heardAt, sentAt)
      : now;
    if (from >= until) return;
    const unwritten = items.filter(({ revision }) =>
      !this.#heardAt || revision <= this.#heardRevision
    );
    this.#unconfirmed.begin(unwritten.map(({ key }) => key), { from, until });
    for (const at of [from, until]) {
      this.#clock.schedule(() => this.#callOnChanged(), at - now);
    }
  }

  #getCurrentTime(): CurrentTime {
    return { now: this.#clock.now(), wallNow: this.#clock.readWallTime() };
  }

  /** Takes a record; one that names no usable endpoint is left out, the others hold. */
  #setEndpoint({ key, value, revision }: StoredItem): void {
    const info = this.#records.decodeEndpoint(key, value);
    if (info) {
      this.#endpoints.set(key, info);
      this.#ignored.delete(key);
      return;
    }
    this.#endpoints.delete(key);
    if (this.#ignored.get(key) === revision) return;
    this.#ignored.set(key, revision);
    this.#metrics.countEvent("endpoint_records_ignored");
    this.#log.record(EventCode.EndpointRecordIgnored, {
      endpoint: key.slice(this.#records.endpointPrefix.length),
      revision,
      length: value.length,
    });
  }

  #callOnChanged(): void {
    if (this.#isStopped) return;
    const now = this.#clock.now();
    const unconfirmed = [...this.#endpoints]
      .filter(([key]) => this.#unconfirmed.has(key, now))
      .map(([, { id }]) => id);
    this.#onChanged([...this.#endpoints.values()], new Set(unconfirmed));
  }
}
