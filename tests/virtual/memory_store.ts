import { Buffer } from "node:buffer";
import {
  HistoryGoneError,
  RefusedError,
  UnknownEffectError,
} from "../../packages/base/mod.ts";
import {
  type ItemPage,
  KeyValueStore,
  type ListOptions,
  type StoreChange,
  type StoredItem,
  type Transaction,
  type TransactionOutcome,
  TransactionResult,
  type WatchOptions,
  type WatchResult,
} from "../../packages/storage/mod.ts";
import type { ProcessClock } from "./virtual_time.ts";

interface Item extends StoredItem {
  lease: number;
}

/** Fault that affects the calls of one client while it is set. */
export enum StoreFault {
  None = "none",
  /** The call has no effect and times out. */
  Timeout = "silent",
  /** The call is refused with status 503 and has no effect. */
  Unavailable = "busy",
  /** A write takes effect, but its answer is lost and the call times out. */
  LostAnswer = "lost_answer",
  /**
   * A write times out and is applied afterwards, if its conditions still hold
   * then.
   */
  AppliedLate = "done_late",
}

const ITEMS_PER_PAGE = 50;
const CALL_TIMEOUT_MS = 1_500;

/** Largest size of a value, in bytes; the platform's limit. */
const MAX_VALUE_BYTES = 1_048_576;

/** Items, leases and history of changes, shared by all clients of a test. */
export class MemoryStoreState {
  readonly items = new Map<string, Item>();
  readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  history: StoreChange[] = [];
  revision = 1;
  lastLease = 0;
  /** Watches from a revision below this one fail: the history is dropped. */
  compactedRevision = 0;
  /** Number of transactions that were applied. */
  transactions = 0;

  /**
   * Sets an item at the current revision. The store keeps bytes: what UTF-8 cannot
   * encode is replaced.
   */
  put(key: string, text: string, lease: number): void {
    const revision = this.revision;
    const value = Buffer.from(text).toString();
    this.items.set(key, { key, value, revision, lease });
    this.history.push({ key, value, revision });
  }

  /** Removes an item, if it exists. */
  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.history.push({ key, revision: this.revision });
  }

  /** Ends the leases that have expired and removes their items. */
  expire(now: number): void {
    for (const [lease, { endsAt }] of this.leases) {
      if (endsAt <= now) this.endLease(lease);
    }
  }

  /** Ends a lease and removes its items. */
  endLease(lease: number): void {
    if (!this.leases.delete(lease)) return;
    for (const item of [...this.items.values()]) {
      if (item.lease !== lease) continue;
      this.revision++;
      this.remove(item.key);
    }
  }
}

/** Client of the in-memory key-value store, with a fault of its own. */
export class MemoryStore extends KeyValueStore {
  readonly state: MemoryStoreState;
  readonly #clock: ProcessClock;
  fault = StoreFault.None;
  /** Delay of a write under `StoreFault.AppliedLate`, in milliseconds. */
  lateWriteDelayMs = 3_000;
  /** Time from a call to its effect, in milliseconds. */
  latencyMs = 4;
  /** Time from the effect of a renewal or a write to its answer, in ms. */
  answerDelayMs = 0;

  constructor(state: MemoryStoreState, clock: ProcessClock) {
    super();
    this.state = state;
    this.#clock = clock;
  }

  override get(key: string): Promise<StoredItem | undefined> {
    return this.#read(() => this.state.items.get(key));
  }

  override list(
    prefix: string,
    { after = "" }: ListOptions = {},
  ): Promise<ItemPage> {
    return this.#read(() => {
      const matching = [...this.state.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => a.key < b.key ? -1 : 1);
      return {
        items: matching.slice(0, ITEMS_PER_PAGE),
        hasMore: matching.length > ITEMS_PER_PAGE,
        revision: this.state.revision,
      };
    });
  }

  override async watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<WatchResult> {
    const deadline = this.#clock.now() + options.waitMs;
    for (;;) {
      const result = await this.#read(() => {
        if (options.after < this.state.compactedRevision) {
          throw new HistoryGoneError("Cannot watch: the history is gone");
        }
        const changes = this.state.history.filter((change) =>
          change.revision > options.after && change.key.startsWith(prefix)
        );
        return { changes, revision: this.state.revision };
      });
      if (result.changes.length > 0 || this.#clock.now() >= deadline) {
        return result;
      }
      await this.#clock.sleep(20);
    }
  }

  override commit(transaction: Transaction): Promise<TransactionOutcome> {
    return this.#write(() => this.#apply(transaction));
  }

  override createLease(ttlMs: number): Promise<number> {
    return this.#write(() => {
      const lease = ++this.state.lastLease;
      const endsAt = this.#clock.readSiteTime() + ttlMs;
      this.state.leases.set(lease, { ttlMs, endsAt });
      return lease;
    });
  }

  override async renewLease(lease: number): Promise<boolean> {
    const isRenewed = await this.#read(() => {
      const storedLease = this.state.leases.get(lease);
      if (storedLease) {
        storedLease.endsAt = this.#clock.readSiteTime() + storedLease.ttlMs;
      }
      return storedLease !== undefined;
    });
    if (this.answerDelayMs > 0) await this.#clock.sleep(this.answerDelayMs);
    return isRenewed;
  }

  override endLease(lease: number): Promise<void> {
    return this.#write(() => this.state.endLease(lease));
  }

  override async close(): Promise<void> {}

  #apply(transaction: Transaction): TransactionOutcome {
    const { state } = this;
    state.expire(this.#clock.readSiteTime());
    const areConditionsMet = transaction.expected.every(({ key, revision }) =>
      (state.items.get(key)?.revision ?? 0) === revision
    );
    if (!areConditionsMet) {
      return { result: TransactionResult.Conflict, revision: 0 };
    }
    const doLeasesExist = transaction.puts.every(({ lease }) =>
      !lease || state.leases.has(lease)
    );
    if (!doLeasesExist) {
      return { result: TransactionResult.NoLease, revision: 0 };
    }
    const isTooLarge = transaction.puts.some(({ value }) =>
      Buffer.byteLength(value) > MAX_VALUE_BYTES
    );
    if (isTooLarge) {
      throw new UnknownEffectError("Cannot use the store: status 400");
    }
    state.revision++;
    state.transactions++;
    for (const { key, value, lease } of transaction.puts) {
      state.put(key, value, lease ?? 0);
    }
    for (const key of transaction.deletes) state.remove(key);
    return { result: TransactionResult.Applied, revision: state.revision };
  }

  /**
   * Runs a call that only reads or is safe to repeat. `LostAnswer` and
   * `AppliedLate` do not affect it.
   */
  async #read<T>(run: () => T): Promise<T> {
    await this.#checkFault();
    await this.#clock.sleep(this.latencyMs);
    this.state.expire(this.#clock.readSiteTime());
    return run();
  }

  /** Runs a call whose answer may be lost or whose effect may come late. */
  async #write<T>(run: () => T): Promise<T> {
    await this.#checkFault();
    await this.#clock.sleep(this.latencyMs);
    this.state.expire(this.#clock.readSiteTime());
    if (this.fault === StoreFault.AppliedLate) {
      this.#clock.schedule(() => void run(), this.lateWriteDelayMs);
    } else {
      const answer = run();
      if (this.answerDelayMs > 0) await this.#clock.sleep(this.answerDelayMs);
      if (this.fault !== StoreFault.LostAnswer) return answer;
    }
    await this.#clock.sleep(CALL_TIMEOUT_MS);
    throw new UnknownEffectError("Cannot call the store: no answer");
  }

  /** Fails if the fault keeps the call from reaching the store. */
  async #checkFault(): Promise<void> {
    if (this.fault === StoreFault.Unavailable) {
      throw new RefusedError("Cannot use the store: status 503");
    }
    if (this.fault !== StoreFault.Timeout) return;
    await this.#clock.sleep(CALL_TIMEOUT_MS);
    throw new UnknownEffectError("Cannot call the store: no answer");
  }
}
