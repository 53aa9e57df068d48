import {
  type Clock,
  HistoryGoneError,
  RefusedError,
  UnknownEffectError,
} from "../../packages/base/mod.ts";
import {
  type ItemPage,
  KeyValueStore,
  type StoreChange,
  type StoredItem,
  type Transaction,
  type TransactionOutcome,
  TransactionResult,
  type WatchResult,
} from "../../packages/storage/mod.ts";

interface Item extends StoredItem {
  lease: number;
}

/** What goes wrong with the next calls of one client. */
export enum StoreFault {
  None = "none",
  /** Nothing is done and nothing is answered. */
  Silent = "silent",
  /** Refused: nothing is done. */
  Busy = "busy",
  /** Done, but the answer is lost. */
  LostAnswer = "lost_answer",
  /** Not answered, and done later if the conditions still hold. */
  DoneLate = "done_late",
}

const PAGE_ITEMS = 50;
const SILENCE_MS = 1_500;

/** Items, leases and history that all clients of a test share. */
export class MemoryState {
  readonly items = new Map<string, Item>();
  readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  history: StoreChange[] = [];
  revision = 1;
  lastLease = 0;
  historyFrom = 0;
  transactions = 0;

  put(key: string, value: string, lease: number): void {
    const revision = this.revision;
    this.items.set(key, { key, value, revision, lease });
    this.history.push({ key, value, revision });
  }

  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.history.push({ key, revision: this.revision });
  }

  /** Ends leases that have run out, and removes their keys. */
  expire(now: number): void {
    for (const [lease, { endsAt }] of this.leases) {
      if (endsAt <= now) this.endLease(lease);
    }
  }

  endLease(lease: number): void {
    if (!this.leases.delete(lease)) return;
    for (const item of [...this.items.values()]) {
      if (item.lease !== lease) continue;
      this.revision++;
      this.remove(item.key);
    }
  }
}

/** One client of a store in memory, with faults of its own. */
export class MemoryStore extends KeyValueStore {
  readonly state: MemoryState;
  readonly #clock: Clock;
  fault = StoreFault.None;
  /** How long a late write waits, in milliseconds. */
  lateMs = 3_000;
  answerMs = 4;

  constructor(state: MemoryState, clock: Clock) {
    super();
    this.state = state;
    this.#clock = clock;
  }

  override get(key: string): Promise<StoredItem | undefined> {
    return this.#read(() => this.state.items.get(key));
  }

  override list(prefix: string, after = ""): Promise<ItemPage> {
    return this.#read(() => {
      const all = [...this.state.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => a.key < b.key ? -1 : 1);
      return {
        items: all.slice(0, PAGE_ITEMS),
        hasMore: all.length > PAGE_ITEMS,
        revision: this.state.revision,
      };
    });
  }

  override async watch(
    prefix: string,
    options: { after: number; waitMs: number },
  ): Promise<WatchResult> {
    const until = this.#clock.now() + options.waitMs;
    for (;;) {
      const found = await this.#read(() => {
        if (options.after < this.state.historyFrom) {
          throw new HistoryGoneError("Cannot watch: the history is gone");
        }
        const changes = this.state.history.filter((change) =>
          change.revision > options.after && change.key.startsWith(prefix)
        );
        return { changes, revision: this.state.revision };
      });
      if (found.changes.length > 0 || this.#clock.now() >= until) return found;
      await this.#clock.sleep(20);
    }
  }

  override commit(transaction: Transaction): Promise<TransactionOutcome> {
    return this.#write(() => this.#apply(transaction));
  }

  override createLease(ttlMs: number): Promise<number> {
    return this.#write(() => {
      const lease = ++this.state.lastLease;
      const endsAt = this.#clock.now() + ttlMs;
      this.state.leases.set(lease, { ttlMs, endsAt });
      return lease;
    });
  }

  override renewLease(lease: number): Promise<boolean> {
    return this.#read(() => {
      const held = this.state.leases.get(lease);
      if (held) held.endsAt = this.#clock.now() + held.ttlMs;
      return held !== undefined;
    });
  }

  override endLease(lease: number): Promise<void> {
    return this.#write(() => this.state.endLease(lease));
  }

  override async close(): Promise<void> {}

  #apply(transaction: Transaction): TransactionOutcome {
    const { state } = this;
    state.expire(this.#clock.now());
    const isMet = transaction.expected.every(({ key, revision }) =>
      (state.items.get(key)?.revision ?? 0) === revision
    );
    if (!isMet) {
      return { result: TransactionResult.Conflict, revision: 0 };
    }
    const hasLeases = transaction.puts.every(({ lease }) =>
      !lease || state.leases.has(lease)
    );
    if (!hasLeases) return { result: TransactionResult.NoLease, revision: 0 };
    state.revision++;
    state.transactions++;
    for (const { key, value, lease } of transaction.puts) {
      state.put(key, value, lease ?? 0);
    }
    for (const key of transaction.deletes) state.remove(key);
    return { result: TransactionResult.Applied, revision: state.revision };
  }

  async #read<T>(run: () => T): Promise<T> {
    await this.#meetFault();
    await this.#clock.sleep(this.answerMs);
    this.state.expire(this.#clock.now());
    return run();
  }

  async #write<T>(run: () => T): Promise<T> {
    await this.#meetFault();
    await this.#clock.sleep(this.answerMs);
    this.state.expire(this.#clock.now());
    if (this.fault === StoreFault.DoneLate) {
      this.#clock.schedule(() => void run(), this.lateMs);
    } else {
      const answer = run();
      if (this.fault !== StoreFault.LostAnswer) return answer;
    }
    await this.#clock.sleep(SILENCE_MS);
    throw new UnknownEffectError("Cannot call the store: no answer");
  }

  async #meetFault(): Promise<void> {
    if (this.fault === StoreFault.Busy) {
      throw new RefusedError("Cannot use the store: status 503");
    }
    if (this.fault !== StoreFault.Silent) return;
    await this.#clock.sleep(SILENCE_MS);
    throw new UnknownEffectError("Cannot call the store: no answer");
  }
}
