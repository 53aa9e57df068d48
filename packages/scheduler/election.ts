import {
  type Clock,
  FormatError,
  HistoryGoneError,
  type Random,
} from "../base/mod.ts";
import type { CurrentTime } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  type KeyValueStore,
  requireJson,
  requireText,
  type StoredItem,
  TransactionResult,
} from "../storage/mod.ts";
import {
  CELL_PREFIX,
  MAX_CLAIM_DELAY_MS,
  OWNER_KEY,
  OWNER_LEASE_MS,
  OWNER_READ_INTERVAL_MS,
  OWNER_RENEWAL_INTERVAL_MS,
  OWNER_WATCH_WAIT_MS,
  STEP_DOWN_PAUSE_MS,
  STORE_RETRY_MS,
  TERM_KEY,
} from "./constants.ts";
import { isProofOfExit } from "./claim_rules.ts";
import { IsolationAnswers } from "./isolation_answers.ts";
import { LeaseConfirmation } from "./lease_confirmation.ts";
import {
  type OwnerRecord,
  type OwnershipEnd,
  OwnershipEndCause,
} from "./types.ts";

/** This entry's ownership of the cell, from a won election. */
export interface Ownership {
  record: OwnerRecord;
  /** Revision of the owner's key: the fencing token, higher with each owner. */
  revision: number;
  /** The last confirmed renewal of the lease. */
  confirmation: LeaseConfirmation;
  /** This entry left the cell to others that it did not reach, and none took it. */
  isUntaken?: boolean;
}

/** Receives the results of an `Election`. */
export abstract class ElectionHost {
  /** Called when another entry, or none, is found to own the cell. */
  abstract handleOwnerChange(record: OwnerRecord | undefined): void;

  /** Called when this entry becomes the owner. */
  abstract beginOwnership(ownership: Ownership): void;

  /** Called when this entry's ownership has ended. */
  abstract endOwnership(end: OwnershipEnd): void;
}

/**
 * Elects the cell's owner. The owner is the entry that holds the owner's key
 * under a lease of the store.
 */
export class Election {
  readonly #store: KeyValueStore;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #log: EventLog;
  readonly #host: ElectionHost;
  readonly #self: Omit<OwnerRecord, "term" | "lease">;
  #ownership: Ownership | undefined;
  readonly #getClaimDelay: () => number;
  readonly #isOwnerReachable: () => boolean;
  readonly #isolationAnswers: IsolationAnswers;
  /** When a call of the election to the store failed last, in ms. */
  #storeFailedAt = Number.NEGATIVE_INFINITY;
  /** Revision of the last ownership that began in this process. */
  #lastRevision = 0;
  #isStopped = false;
  /** When the cell was found without an owner; `undefined`: it has one. */
  #ownerMissingSince: number | undefined;
  /** Last term in which this entry left the cell as it was cut off; -1: none. */
  #isolatedTerm = -1;
  #mayClaim = true;
  #noClaimBefore = 0;
  #isOwnerSuspected = false;
  #isTakingOver = false;
  #cancelWait: () => void = () => {};

  constructor(options: {
    store: KeyValueStore;
    clock: Clock;
    random: Random;
    log: EventLog;
    host: ElectionHost;
    self: Omit<OwnerRecord, "term" | "lease">;
    /**
     * Returns how long this entry leaves a cell without an owner to others, in
     * milliseconds.
     */
    getClaimDelay?: () => number;
    /** Returns whether the owner that this entry follows is connected to it. */
    isOwnerReachable?: () => boolean;
    /** Returns whether this entry tried in vain to reach the owner that it follows. */
    isOwnerUnreachable?: () => boolean;
  }) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#log = options.log;
    this.#host = options.host;
    this.#self = options.self;
    this.#getClaimDelay = options.getClaimDelay ?? (() => 0);
    this.#isOwnerReachable = options.isOwnerReachable ?? (() => false);
    this.#isolationAnswers = new IsolationAnswers({
      store: this.#store,
      random: this.#random,
      log: this.#log,
      entry: this.#self.entry,
      isOwnerReachable: this.#isOwnerReachable,
      isOwnerUnreachable: options.isOwnerUnreachable ?? (() => false),
    });
  }

  /**
   * Runs until stopped. While this entry owns the cell, renews its lease;
   * otherwise watches the owner's key and claims the cell when it has no owner.
   */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      try {
        if (this.#ownership) await this.#renewOwnership(this.#ownership);
        else await this.#findOwner();
      } catch (error) {
        this.#noteStoreFailure(error);
        await this.#clock.sleep(STORE_RETRY_MS);
      }
    }
  }

  /** Releases the ownership, if any, and never claims the cell again. */
  async releaseOwnership(): Promise<void> {
    this.#mayClaim = false;
    await this.#releaseLease({
      cause: OwnershipEndCause.Stopped,
      reason: "this entry stops",
    });
  }

  /**
   * Releases the ownership and makes no claim for `STEP_DOWN_PAUSE_MS`, so that
   * another entry can take over.
   */
  async stepDown(
    reason: string,
    cause = OwnershipEndCause.HandedOver,
  ): Promise<void> {
    if (!this.#ownership || !this.#mayClaim) return;
    if (cause === OwnershipEndCause.Isolated) {
      this.#isolatedTerm = this.#ownership.record.term;
    }
    this.#noClaimBefore = this.#clock.now() + STEP_DOWN_PAUSE_MS;
    await this.#releaseLease({ cause, reason });
  }

  /** Ends the ownership, then its lease, so that others can claim at once. */
  async #releaseLease(end: OwnershipEnd): Promise<void> {
    const ownership = this.#ownership;
    if (!ownership) return;
    this.#clearOwnership(end);
    try {
      await this.#store.endLease(ownership.record.lease);
    } catch (error) {
      // The lease still expires without this call.
      this.#log.record(EventCode.ElectionFailed, { reason: String(error) });
    }
  }

  /** Reads the owner's key again soon, after the owner became unreachable. */
  checkOwner(): void {
    this.#isOwnerSuspected = true;
    this.#cancelWait();
  }

  /**
   * Claims the cell from an owner whose address refuses connections, without waiting
   * for its lease to expire, unless this entry may be cut off itself.
   */
  claimFromDeadOwner(deadOwner: OwnerRecord): void {
    if (this.#ownership || this.#isTakingOver) return;
    const now = this.#clock.now();
    if (now < this.#noClaimBefore) return;
    const storeFailedAt = this.#storeFailedAt;
    if (!isProofOfExit({ storeFailedAt, isOwnerReachable: false }, now)) return;
    this.#isTakingOver = true;
    this.#claimIfUnchanged(deadOwner)
      .catch((error) => this.#noteStoreFailure(error))
      .finally(() => this.#isTakingOver = false);
  }

  /** Ends this entry's ownership after it was found to be lost. */
  noteDeposed(reason: string): void {
    this.#clearOwnership({ cause: OwnershipEndCause.Superseded, reason });
  }

  /** Stops the election; a lease that is still held then expires. */
  stop(): void {
    this.#isStopped = true;
  }

  async #findOwner(): Promise<void> {
    const page = await this.#store.list(CELL_PREFIX);
    const item = page.items.find(({ key }) => key === OWNER_KEY);
    const record = item && requireJson<OwnerRecord>(item);
    if (item && record) {
      if (record.incarnation === this.#self.incarnation) {
        return item.revision === this.#lastRevision
          ? await this.#claimAfterEnd(item, record)
          : await this.#restoreOwnership(item, record);
      }
      // The record is from an earlier process of this entry. That process has
      // ended, because this one now listens on its addresses.
      if (record.entry === this.#self.entry) return await this.#claim(item);
      this.#ownerMissingSince = undefined;
      this.#host.handleOwnerChange(record);
      this.#isolationAnswers.noteItems(page.items, {
        ownerItem: item,
        lease: record.lease,
        mayClaim: this.#mayClaim && this.#clock.now() >= this.#noClaimBefore,
      });
      return await this.#waitForChange(page.revision);
    }
    this.#host.handleOwnerChange(undefined);
    const now = this.#clock.now();
    this.#ownerMissingSince ??= now;
    if (!this.#mayClaim || now < this.#noClaimBefore) {
      return await this.#clock.sleep(STORE_RETRY_MS);
    }
    const delayMs = this.#getClaimDelay() +
      this.#isolationAnswers.claimDelayMs;
    const waitMs = this.#ownerMissingSince + delayMs - now;
    if (waitMs > 0) return await this.#clock.sleep(waitMs);
    await this.#clock.sleep(this.#random.drawInt(MAX_CLAIM_DELAY_MS));
    await this.#claim(undefined);
  }

  /** Waits until the owner's key changes or `checkOwner` is called. */
  async #waitForChange(revision: number): Promise<void> {
    if (this.#isOwnerSuspected) {
      this.#isOwnerSuspected = false;
      return await this.#clock.sleep(OWNER_READ_INTERVAL_MS);
    }
    let isCancelled = false;
    const cancelled = new Promise<void>((resolve) =>
      this.#cancelWait = () => {
        isCancelled = true;
        resolve();
      }
    );
    let after: number | undefined = revision;
    while (after !== undefined && !isCancelled && !this.#isStopped) {
      after = await Promise.race([this.#watchOwner(after), cancelled]) ??
        undefined;
    }
  }

  /**
   * Watches the owner's key once. Returns the revision from which to continue,
   * or `undefined` if the key has to be read again.
   */
  async #watchOwner(after: number): Promise<number | undefined> {
    try {
      const { changes, revision } = await this.#store.watch(CELL_PREFIX, {
        after,
        waitMs: OWNER_WATCH_WAIT_MS,
      });
      return changes.length === 0 ? revision : undefined;
    } catch (error) {
      if (!(error instanceof HistoryGoneError)) this.#noteStoreFailure(error);
      await this.#clock.sleep(STORE_RETRY_MS);
      return undefined;
    }
  }

  async #claim(ownerItem: StoredItem | undefined): Promise<void> {
    if (!this.#mayClaim || this.#isStopped) return;
    // Read together: of hundreds of claims at once, those that come later see
    // that the cell has an owner, and write nothing.
    const { items } = await this.#store.list(CELL_PREFIX);
    const currentItem = items.find(({ key }) => key === OWNER_KEY);
    if (currentItem?.revision !== ownerItem?.revision) return;
    const termItem = items.find(({ key }) => key === TERM_KEY);
    const term = parseTerm(termItem) + 1;
    const sentAt = this.#getCurrentTime();
    const lease = await this.#store.createLease(OWNER_LEASE_MS);
    const record: OwnerRecord = { ...this.#self, term, lease };
    const { result, revision } = await this.#store.commit({
      expected: [
        { key: OWNER_KEY, revision: ownerItem?.revision ?? 0 },
        { key: TERM_KEY, revision: termItem?.revision ?? 0 },
      ],
      puts: [
        { key: OWNER_KEY, value: JSON.stringify(record), lease },
        { key: TERM_KEY, value: String(term) },
      ],
      deletes: [],
    });
    if (result !== TransactionResult.Applied) return;
    const confirmation = new LeaseConfirmation(sentAt);
    this.#setOwnership({ record, revision, confirmation });
  }

  async #claimIfUnchanged(deadOwner: OwnerRecord): Promise<void> {
    await this.#clock.sleep(
      this.#getClaimDelay() + this.#random.drawInt(MAX_CLAIM_DELAY_MS),
    );
    const item = await this.#store.get(OWNER_KEY);
    const isOwnerReachable = this.#isOwnerReachable();
    const storeFailedAt = this.#storeFailedAt;
    const now = this.#clock.now();
    if (!isProofOfExit({ storeFailedAt, isOwnerReachable }, now)) return;
    if (!item) return;
    const currentOwner = requireJson<OwnerRecord>(item);
    // The claim is safe even if the owner still runs: the new owner has a
    // higher fencing token.
    if (currentOwner.incarnation === deadOwner.incarnation) {
      await this.#claim(item);
    }
  }

  /** Restores an ownership whose claim succeeded but whose answer was lost. */
  async #restoreOwnership(
    item: StoredItem,
    record: OwnerRecord,
  ): Promise<void> {
    if (!this.#mayClaim) return await this.#store.endLease(record.lease);
    const sentAt = this.#getCurrentTime();
    if (!await this.#store.renewLease(record.lease)) return;
    const { revision } = item;
    const confirmation = new LeaseConfirmation(sentAt);
    this.#setOwnership({ record, revision, confirmation });
  }

  /**
   * Releases or replaces an ownership of this process that has ended although
   * its key remains, for example because the release was lost. It must not be
   * resumed: commits of its journal may still take effect, and the same
   * condition would let them mix with those of the next journal. A new claim
   * changes the key's revision, on which they depend.
   */
  async #claimAfterEnd(
    item: StoredItem,
    record: OwnerRecord,
  ): Promise<void> {
    if (this.#mayClaim && this.#clock.now() >= this.#noClaimBefore) {
      return await this.#claim(item);
    }
    await this.#store.endLease(record.lease);
    await this.#clock.sleep(STORE_RETRY_MS);
  }

  #setOwnership(ownership: Ownership): void {
    if (this.#ownership) return;
    // The entry may have begun to stop while the claim was in flight.
    if (!this.#mayClaim) {
      this.#store.endLease(ownership.record.lease).catch((error) =>
        this.#log.record(EventCode.ElectionFailed, { reason: String(error) })
      );
      return;
    }
    ownership.isUntaken = this.#isolatedTerm === ownership.record.term - 1;
    this.#ownership = ownership;
    this.#lastRevision = ownership.revision;
    this.#ownerMissingSince = undefined;
    this.#log.record(EventCode.OwnershipBegan, {
      term: ownership.record.term,
      fence: ownership.revision,
    });
    this.#host.beginOwnership(ownership);
  }

  async #renewOwnership(ownership: Ownership): Promise<void> {
    const sentAt = this.#getCurrentTime();
    // The lease goes on without its key if another entry took this one for dead.
    const [isRenewed, item] = await Promise.all([
      this.#store.renewLease(ownership.record.lease),
      this.#store.get(OWNER_KEY),
    ]);
    if (!isRenewed) {
      this.#clearOwnership({
        cause: OwnershipEndCause.LeaseExpired,
        reason: "the lease has expired",
      });
    } else if (item?.revision !== ownership.revision) {
      this.#clearOwnership({
        cause: OwnershipEndCause.Superseded,
        reason: "another entry has claimed the cell",
      });
    } else ownership.confirmation.noteRenewal(sentAt);
    await this.#clock.sleep(OWNER_RENEWAL_INTERVAL_MS);
  }

  #noteStoreFailure(error: unknown): void {
    this.#storeFailedAt = this.#clock.now();
    this.#log.record(EventCode.ElectionFailed, { reason: String(error) });
  }

  #getCurrentTime(): CurrentTime {
    return { now: this.#clock.now(), wallNow: this.#clock.readWallTime() };
  }

  #clearOwnership(end: OwnershipEnd): void {
    const ownership = this.#ownership;
    if (!ownership) return;
    this.#ownership = undefined;
    this.#log.record(EventCode.OwnershipEnded, {
      term: ownership.record.term,
      ...end,
    });
    this.#host.endOwnership(end);
  }
}

/**
 * Parses the last term; 0: there was none.
 *
 * @throws {FormatError} when it is not a count: a term that is used again would repeat
 *   the numbers of runs
 */
function parseTerm(item: StoredItem | undefined): number {
  if (!item) return 0;
  const term = requireText(item);
  if (/^\d+$/.test(term)) return Number(term);
  throw new FormatError(`Cannot read ${item.key}: not a count`);
}
