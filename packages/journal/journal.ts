import { Buffer } from "node:buffer";
import type { Clock } from "../base/mod.ts";
import { type KeyValueStore, TransactionResult } from "../storage/mod.ts";
import {
  COMMIT_INTERVAL_MS,
  FIRST_RETRY_MS,
  MAX_COMMIT_BYTES,
  MAX_COMMITS_IN_FLIGHT,
  MAX_DELETES_PER_COMMIT,
  SEGMENTS_PER_SNAPSHOT,
  SNAPSHOT_PART_BYTES,
} from "./constants.ts";
import { formatSegmentKey } from "./keys.ts";
import { splitSnapshot } from "./snapshot_parts.ts";
import type { JournalRecord, OwnerClaim } from "./types.ts";

/** Callbacks from the journal to the owner of the cell. */
export abstract class JournalHost {
  /** Exports the state with all added records applied, committed or not. */
  abstract collectSnapshot(): unknown;

  /** Called when another owner has taken over; nothing more can be written. */
  abstract endOwnership(reason: string): void;

  /** Called when a call to the store got no answer or was refused. */
  abstract noteCommitFailure(error: unknown): void;

  /** Called with the store's revision when a commit is known to have been applied. */
  abstract noteCommitted(revision: number): void;

  /** Called when a commit of `records` records has succeeded. */
  abstract noteCommitSuccess(elapsedMs: number, records: number): void;
}

/** Records that are committed together as one segment. */
interface Batch {
  segment: number;
  /** The records as JSON, and their number. */
  value: string;
  recordCount: number;
  onCommitted: (() => void)[];
  sentAt: number;
  isCommitted: boolean;
}

/**
 * Commits records in batches, with several commits in flight. Each commit
 * requires that its segment's key does not exist and that the owner's claim is
 * unchanged, so a commit that is retried or takes effect late is applied at
 * most once. A segment may be missing after a take-over; none of its records
 * was acknowledged, because batches are acknowledged in order.
 */
export class Journal {
  readonly #store: KeyValueStore;
  readonly #clock: Clock;
  readonly #host: JournalHost;
  readonly #claim: OwnerClaim;
  #lastSegment: number;
  #lastSnapshotSegment: number;
  #obsoleteKeys: string[];
  #snapshotKeys: string[] = [];
  #pendingRecords: JournalRecord[] = [];
  #pendingCallbacks: (() => void)[] = [];
  /** Batches in segment order; their callbacks are called in that order. */
  readonly #inFlight: Batch[] = [];
  #lastCommitAt = 0;
  #isScheduled = false;
  #isWritingSnapshot = false;
  #isClosed = false;

  constructor(options: {
    store: KeyValueStore;
    clock: Clock;
    host: JournalHost;
    claim: OwnerClaim;
    lastSegment: number;
    snapshotSegment: number;
    obsolete: string[];
  }) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#host = options.host;
    this.#claim = options.claim;
    this.#lastSegment = options.lastSegment;
    this.#lastSnapshotSegment = options.snapshotSegment;
    this.#obsoleteKeys = [...options.obsolete];
  }

  /** Adds records; `onCommitted` is called once the store holds them. */
  add(records: JournalRecord[], onCommitted?: () => void): void {
    this.#pendingRecords.push(...records);
    if (onCommitted) this.#pendingCallbacks.push(onCommitted);
    this.#scheduleCommit();
  }

  /** Returns the age of the oldest batch in flight, in ms; 0: none. */
  measureCommitDelay(now: number): number {
    return this.#inFlight.length > 0 ? now - this.#inFlight[0].sentAt : 0;
  }

  /** Resolves when nothing is pending or in flight, or after `close`. */
  async drain(): Promise<void> {
    while (
      !this.#isClosed && (this.#inFlight.length > 0 || this.#hasPending())
    ) {
      await this.#clock.sleep(COMMIT_INTERVAL_MS);
    }
  }

  /** Stops sending commits. */
  close(): void {
    this.#isClosed = true;
  }

  #hasPending(): boolean {
    return this.#pendingRecords.length > 0 || this.#pendingCallbacks.length > 0;
  }

  #scheduleCommit(): void {
    const isAtLimit = this.#inFlight.length >= MAX_COMMITS_IN_FLIGHT;
    if (this.#isClosed || isAtLimit || this.#isScheduled) return;
    const now = this.#clock.now();
    const delayMs = Math.max(0, this.#lastCommitAt + COMMIT_INTERVAL_MS - now);
    this.#isScheduled = true;
    this.#clock.schedule(() => {
      this.#isScheduled = false;
      if (!this.#isClosed && this.#hasPending()) void this.#commitBatch();
    }, delayMs);
  }

  async #commitBatch(): Promise<void> {
    const batch = this.#makeBatch();
    this.#inFlight.push(batch);
    if (this.#hasPending()) this.#scheduleCommit();
    if (batch.recordCount > 0) {
      this.#lastCommitAt = batch.sentAt;
      if (!await this.#writeSegment(batch)) return;
    }
    batch.isCommitted = true;
    this.#finishBatches();
    if (this.#hasPending()) this.#scheduleCommit();
    if (
      this.#lastSegment - this.#lastSnapshotSegment >= SEGMENTS_PER_SNAPSHOT
    ) {
      await this.#writeSnapshot();
    }
  }

  #finishBatches(): void {
    while (this.#inFlight.length > 0 && this.#inFlight[0].isCommitted) {
      for (const notify of this.#inFlight[0].onCommitted) notify();
      this.#inFlight.shift();
    }
  }

  /**
   * Takes the next batch from the pending records. All pending callbacks join
   * the batch with the last pending record, so that each is called only after
   * the records that were added before it are committed.
   */
  #makeBatch(): Batch {
    const texts: string[] = [];
    let bytes = 0;
    for (const record of this.#pendingRecords) {
      const text = JSON.stringify(record);
      bytes += Buffer.byteLength(text);
      if (texts.length > 0 && bytes > MAX_COMMIT_BYTES) break;
      texts.push(text);
    }
    const recordCount = texts.length;
    this.#pendingRecords.splice(0, recordCount);
    const isLast = this.#pendingRecords.length === 0;
    const onCommitted = isLast ? this.#pendingCallbacks : [];
    if (isLast) this.#pendingCallbacks = [];
    if (recordCount > 0) this.#lastSegment++;
    return {
      segment: this.#lastSegment,
      value: `[${texts.join(",")}]`,
      recordCount,
      onCommitted,
      sentAt: this.#clock.now(),
      isCommitted: false,
    };
  }

  async #writeSegment(batch: Batch): Promise<boolean> {
    const deletes = this.#obsoleteKeys.splice(0, MAX_DELETES_PER_COMMIT);
    const isCommitted = await this.#commit({
      key: formatSegmentKey(batch.segment),
      value: batch.value,
      deletes,
    });
    if (!isCommitted) return false;
    const elapsedMs = this.#clock.now() - batch.sentAt;
    this.#host.noteCommitSuccess(elapsedMs, batch.recordCount);
    return true;
  }

  async #commit(
    write: { key: string; value: string; deletes: string[] },
  ): Promise<boolean> {
    let backoffMs = FIRST_RETRY_MS;
    for (let attempt = 1; !this.#isClosed; attempt++) {
      try {
        const { result, revision } = await this.#store.commit({
          expected: [
            { key: this.#claim.key, revision: this.#claim.revision },
            { key: write.key, revision: 0 },
          ],
          puts: [{ key: write.key, value: write.value }],
          deletes: write.deletes,
        });
        if (result === TransactionResult.Applied) {
          this.#host.noteCommitted(revision);
          return true;
        }
        return await this.#settleConflict(write.key, attempt > 1);
      } catch (error) {
        this.#host.noteCommitFailure(error);
      }
      await this.#clock.sleep(backoffMs);
      backoffMs = Math.min(backoffMs * 2, FIRST_RETRY_MS * 8);
    }
    return false;
  }

  /**
   * Resolves a conflict; returns whether the write was applied. After a retry,
   * the cause may be an earlier attempt that was applied but whose answer was
   * lost. If the write was not applied, the ownership ends.
   */
  async #settleConflict(key: string, wasRetried: boolean): Promise<boolean> {
    while (wasRetried && !this.#isClosed) {
      try {
        const owner = await this.#store.get(this.#claim.key);
        const isOwner = owner?.revision === this.#claim.revision;
        // Only the owner writes segments, so an existing segment is this
        // owner's.
        if (isOwner && await this.#store.get(key)) return true;
        break;
      } catch (error) {
        this.#host.noteCommitFailure(error);
        await this.#clock.sleep(FIRST_RETRY_MS);
      }
    }
    this.close();
    this.#host.endOwnership("the claim of ownership was replaced");
    return false;
  }

  async #writeSnapshot(): Promise<void> {
    if (this.#isWritingSnapshot) return;
    this.#isWritingSnapshot = true;
    // The exported state contains every record so far. Segments still in flight
    // are replayed on top of it, which is idempotent.
    const segment = this.#lastSegment - this.#inFlight.length;
    const text = JSON.stringify(this.#host.collectSnapshot());
    const parts = splitSnapshot({ segment, text }, SNAPSHOT_PART_BYTES);
    for (const { key, value } of parts) {
      if (!await this.#commit({ key, value, deletes: [] })) return;
    }
    for (
      let covered = this.#lastSnapshotSegment + 1;
      covered <= segment;
      covered++
    ) {
      this.#obsoleteKeys.push(formatSegmentKey(covered));
    }
    this.#obsoleteKeys.push(...this.#snapshotKeys);
    this.#snapshotKeys = parts.map(({ key }) => key);
    this.#lastSnapshotSegment = segment;
    this.#isWritingSnapshot = false;
  }
}
