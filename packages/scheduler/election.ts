import { type Clock, HistoryGoneError, type Random } from "../base/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  type KeyValueStore,
  type StoredItem,
  TransactionResult,
} from "../storage/mod.ts";
import {
  CELL_PREFIX,
  CLAIM_SPREAD_MS,
  OWNER_KEEP_MS,
  OWNER_KEY,
  OWNER_LEASE_MS,
  OWNER_READ_MS,
  OWNER_WATCH_MS,
  STEP_ASIDE_MS,
  STORE_RETRY_MS,
  TERM_KEY,
} from "./constants.ts";
import type { OwnerRecord } from "./types.ts";

/** A won election. */
export interface Ownership {
  record: OwnerRecord;
  /** Revision of the owner's key: grows with each owner, so it is the fence. */
  revision: number;
  /** When the last confirmed renewal of the lease was sent. */
  confirmedAt: number;
}

/** What the election tells its entry. */
export abstract class ElectionHost {
  /** Another entry, or none, owns the cell. */
  abstract noteOwner(record: OwnerRecord | undefined): void;

  /** This entry owns the cell from now on. */
  abstract beginOwnership(ownership: Ownership): void;

  /** This entry's ownership has ended. */
  abstract endOwnership(reason: string): void;
}

/** Finds or becomes the cell's owner by a lease of the store. */
export class Election {
  readonly #store: KeyValueStore;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #log: EventLog;
  readonly #host: ElectionHost;
  readonly #self: Omit<OwnerRecord, "term" | "lease">;
  #ownership: Ownership | undefined;
  #isStopped = false;
  #mayClaim = true;
  #asideUntil = 0;
  #isDoubted = false;
  #isReplacing = false;
  #endWait: () => void = () => {};

  constructor(options: {
    store: KeyValueStore;
    clock: Clock;
    random: Random;
    log: EventLog;
    host: ElectionHost;
    self: Omit<OwnerRecord, "term" | "lease">;
  }) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#log = options.log;
    this.#host = options.host;
    this.#self = options.self;
  }

  /** Runs until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      try {
        if (this.#ownership) await this.#renewOwnership(this.#ownership);
        else await this.#findOwner();
      } catch (error) {
        this.#log.record(EventCode.ElectionFailed, { reason: String(error) });
        await this.#clock.sleep(STORE_RETRY_MS);
      }
    }
  }

  /** Claims nothing more; an ownership is given up at once. */
  async releaseOwnership(): Promise<void> {
    this.#mayClaim = false;
    await this.#dropOwnership("this entry stops");
  }

  /** Gives an ownership up to others, and claims it again only if none does. */
  async stepAside(reason: string): Promise<void> {
    if (!this.#ownership || !this.#mayClaim) return;
    this.#asideUntil = this.#clock.now() + STEP_ASIDE_MS;
    await this.#dropOwnership(reason);
  }

  async #dropOwnership(reason: string): Promise<void> {
    const ownership = this.#ownership;
    if (!ownership) return;
    this.#clearOwnership(reason);
    try {
      await this.#store.endLease(ownership.record.lease);
    } catch (error) {
      // The lease runs out by itself.
      this.#log.record(EventCode.ElectionFailed, { reason: String(error) });
    }
  }

  /** Reads the owner's key soon: its owner does not answer. */
  checkOwner(): void {
    this.#isDoubted = true;
    this.#endWait();
  }

  /** Claims the cell of an owner whose process is gone; its lease may last. */
  claimFromGone(gone: OwnerRecord): void {
    if (this.#ownership || this.#isReplacing) return;
    if (this.#clock.now() < this.#asideUntil) return;
    this.#isReplacing = true;
    this.#claimFrom(gone)
      .catch((error) =>
        this.#log.record(EventCode.ElectionFailed, { reason: String(error) })
      )
      .finally(() => this.#isReplacing = false);
  }

  /** Gives up an ownership that another entry was seen to hold. */
  noteDeposed(reason: string): void {
    this.#clearOwnership(reason);
  }

  /** Stops at once. */
  stop(): void {
    this.#isStopped = true;
  }

  async #findOwner(): Promise<void> {
    const page = await this.#store.list(CELL_PREFIX);
    const item = page.items.find(({ key }) => key === OWNER_KEY);
    const record = item && JSON.parse(item.value) as OwnerRecord;
    if (item && record) {
      if (record.incarnation === this.#self.incarnation) {
        return await this.#restoreOwnership(item, record);
      }
      // An earlier process on this VM is gone: its addresses are ours.
      if (record.entry === this.#self.entry) return await this.#claim(item);
      this.#host.noteOwner(record);
      return await this.#waitForChange(page.revision);
    }
    this.#host.noteOwner(undefined);
    if (!this.#mayClaim || this.#clock.now() < this.#asideUntil) {
      return await this.#clock.sleep(STORE_RETRY_MS);
    }
    await this.#clock.sleep(this.#random.drawInt(CLAIM_SPREAD_MS));
    await this.#claim(undefined);
  }

  /** Waits until the owner's key changes, or there is doubt about it. */
  async #waitForChange(revision: number): Promise<void> {
    if (this.#isDoubted) {
      this.#isDoubted = false;
      return await this.#clock.sleep(OWNER_READ_MS);
    }
    let isDoubted = false;
    const doubt = new Promise<void>((resolve) =>
      this.#endWait = () => {
        isDoubted = true;
        resolve();
      }
    );
    let after: number | undefined = revision;
    while (after !== undefined && !isDoubted && !this.#isStopped) {
      after = await Promise.race([this.#watchOwner(after), doubt]) ?? undefined;
    }
  }

  /**
   * Watches the owner's key once. Returns the revision to go on from, or
   * nothing when the key has to be read again.
   */
  async #watchOwner(after: number): Promise<number | undefined> {
    try {
      const { changes, revision } = await this.#store.watch(CELL_PREFIX, {
        after,
        waitMs: OWNER_WATCH_MS,
      });
      return changes.length === 0 ? revision : undefined;
    } catch (error) {
      if (!(error instanceof HistoryGoneError)) {
        const reason = String(error);
        this.#log.record(EventCode.ElectionFailed, { reason });
      }
      await this.#clock.sleep(STORE_RETRY_MS);
      return undefined;
    }
  }

  async #claim(present: StoredItem | undefined): Promise<void> {
    if (!this.#mayClaim || this.#isStopped) return;
    const termItem = await this.#store.get(TERM_KEY);
    const term = Number(termItem?.value ?? "0") + 1;
    const askedAt = this.#clock.now();
    const lease = await this.#store.createLease(OWNER_LEASE_MS);
    const record: OwnerRecord = { ...this.#self, term, lease };
    const { result, revision } = await this.#store.commit({
      expected: [
        { key: OWNER_KEY, revision: present?.revision ?? 0 },
        { key: TERM_KEY, revision: termItem?.revision ?? 0 },
      ],
      puts: [
        { key: OWNER_KEY, value: JSON.stringify(record), lease },
        { key: TERM_KEY, value: String(term) },
      ],
      deletes: [],
    });
    if (result !== TransactionResult.Applied) return;
    this.#setOwnership({ record, revision, confirmedAt: askedAt });
  }

  async #claimFrom(gone: OwnerRecord): Promise<void> {
    await this.#clock.sleep(this.#random.drawInt(CLAIM_SPREAD_MS));
    const item = await this.#store.get(OWNER_KEY);
    if (!item) return;
    const present = JSON.parse(item.value) as OwnerRecord;
    // Whoever takes over has a higher fence, also when the owner still lives.
    if (present.incarnation === gone.incarnation) await this.#claim(item);
  }

  /** The answer to a claim was lost, and the claim has taken effect. */
  async #restoreOwnership(
    item: StoredItem,
    record: OwnerRecord,
  ): Promise<void> {
    if (!this.#mayClaim) return await this.#store.endLease(record.lease);
    const askedAt = this.#clock.now();
    if (!await this.#store.renewLease(record.lease)) return;
    const { revision } = item;
    this.#setOwnership({ record, revision, confirmedAt: askedAt });
  }

  #setOwnership(ownership: Ownership): void {
    if (this.#ownership) return;
    // Stopping may have begun while the claim was under way.
    if (!this.#mayClaim) {
      this.#store.endLease(ownership.record.lease).catch((error) =>
        this.#log.record(EventCode.ElectionFailed, { reason: String(error) })
      );
      return;
    }
    this.#ownership = ownership;
    this.#log.record(EventCode.OwnershipBegan, {
      term: ownership.record.term,
      fence: ownership.revision,
    });
    this.#host.beginOwnership(ownership);
  }

  async #renewOwnership(ownership: Ownership): Promise<void> {
    const askedAt = this.#clock.now();
    const isKept = await this.#store.renewLease(ownership.record.lease);
    if (isKept) ownership.confirmedAt = askedAt;
    else this.#clearOwnership("the lease has ended");
    await this.#clock.sleep(OWNER_KEEP_MS);
  }

  #clearOwnership(reason: string): void {
    const ownership = this.#ownership;
    if (!ownership) return;
    this.#ownership = undefined;
    this.#log.record(EventCode.OwnershipEnded, {
      term: ownership.record.term,
      reason,
    });
    this.#host.endOwnership(reason);
  }
}
