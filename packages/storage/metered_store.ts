import type { Metrics } from "../metrics/mod.ts";
import { KeyValueStore } from "./key_value_store.ts";
import type {
  ItemPage,
  ListOptions,
  StoredItem,
  Transaction,
  TransactionOutcome,
  WatchOptions,
  WatchResult,
} from "./types.ts";

/** Wraps a store and records the count, outcome and duration of its calls. */
export class MeteredStore extends KeyValueStore {
  readonly #store: KeyValueStore;
  readonly #metrics: Metrics;
  readonly #now: () => number;
  /** When a call failed last, in milliseconds; negative infinity: never. */
  failedAt = Number.NEGATIVE_INFINITY;

  constructor(
    store: KeyValueStore,
    options: { metrics: Metrics; now: () => number },
  ) {
    super();
    this.#store = store;
    this.#metrics = options.metrics;
    this.#now = options.now;
  }

  override get(key: string): Promise<StoredItem | undefined> {
    return this.#measure("get", () => this.#store.get(key));
  }

  override list(prefix: string, options?: ListOptions): Promise<ItemPage> {
    return this.#measure("list", () => this.#store.list(prefix, options));
  }

  override watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<WatchResult> {
    return this.#measure("watch", () => this.#store.watch(prefix, options));
  }

  override commit(transaction: Transaction): Promise<TransactionOutcome> {
    return this.#measure("commit", () => this.#store.commit(transaction));
  }

  override createLease(ttlMs: number): Promise<number> {
    return this.#measure("create_lease", () => this.#store.createLease(ttlMs));
  }

  override renewLease(lease: number): Promise<boolean> {
    return this.#measure("renew_lease", () => this.#store.renewLease(lease));
  }

  override endLease(lease: number): Promise<void> {
    return this.#measure("end_lease", () => this.#store.endLease(lease));
  }

  override close(): Promise<void> {
    return this.#store.close();
  }

  async #measure<T>(call: string, run: () => Promise<T>): Promise<T> {
    const startedAt = this.#now();
    let outcome = "failed";
    try {
      const result = await run();
      outcome = "answered";
      return result;
    } catch (error) {
      this.failedAt = this.#now();
      throw error;
    } finally {
      const labels = { call, outcome };
      this.#metrics.countEvent("store_calls", labels);
      const elapsed = this.#now() - startedAt;
      this.#metrics.observeDuration("store_call", elapsed, labels);
    }
  }
}
