import type { Clock } from "../base/mod.ts";
import { type KeyValueStore, TransactionResult } from "../storage/mod.ts";
import {
  COMMIT_INTERVAL_MS,
  DELETES_PER_COMMIT,
  MAX_COMMIT_LENGTH,
  MAX_COMMITS_IN_FLIGHT,
  RETRY_MS,
  SEGMENTS_PER_SNAPSHOT,
  SNAPSHOT_PART_LENGTH,
} from "./constants.ts";
import { formatSegmentKey, formatSnapshotKey } from "./load.ts";
import type { JournalRecord, OwnerClaim } from "./types.ts";

/** What the journal tells its owner. */
export abstract class JournalHost {
  /** Exports all state that the committed and pending records led to. */
  abstract collectSnapshot(): unknown;

  /** The claim of ownership no longer holds; nothing more can be written. */
  abstract endOwnership(reason: string): void;

  /** A commit has had no answer, or was refused. */
  abstract noteCommitFailure(error: unknown): void;

  /** A commit has been answered. */
  abstract noteCommitSuccess(elapsedMs: number, records: number): void;
}

interface Batch {
  segment: number;
  records: JournalRecord[];
  onCommitted: (() => void)[];
  sentAt: number;
  isDone: boolean;
}

/**
 * Commits records in groups, several commits at a time. The key of a segment
 * must not exist yet, and the owner's claim must hold: so a commit that is
 * sent twice, or that takes effect late, is applied once or never. A segment
 * may be missing after its owner's end; nobody was told of what it held.
 */
export class Journal {
  readonly #store: KeyValueStore;
  readonly #clock: Clock;
  readonly #host: JournalHost;
  readonly #claim: OwnerClaim;
  #lastSegment: number;
  #snapshotSegment: number;
  #obsolete: string[];
  #snapshotKeys: string[] = [];
  #records: JournalRecord[] = [];
  #onCommitted: (() => void)[] = [];
  /** In the order of their segments; callbacks are called in that order. */
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
    this.#snapshotSegment = options.snapshotSegment;
    this.#obsolete = [...options.obsolete];
  }

  /** Adds records; `onCommitted` is called once the store holds them. */
  add(records: JournalRecord[], onCommitted?: () => void): void {
    this.#records.push(...records);
    if (onCommitted) this.#onCommitted.push(onCommitted);
    this.#schedule();
  }

  /** Tells for how long the oldest commit has had no answer, in ms. */
  measureDelay(now: number): number {
    return this.#inFlight.length > 0 ? now - this.#inFlight[0].sentAt : 0;
  }

  /** Resolves once all records so far are committed or the journal is closed. */
  async drain(): Promise<void> {
    while (!this.#isClosed && (this.#inFlight.length > 0 || this.#hasMore())) {
      await this.#clock.sleep(COMMIT_INTERVAL_MS);
    }
  }

  /** Sends nothing more. */
  close(): void {
    this.#isClosed = true;
  }

  #hasMore(): boolean {
    return this.#records.length > 0 || this.#onCommitted.length > 0;
  }

  #schedule(): void {
    const isBusy = this.#inFlight.length >= MAX_COMMITS_IN_FLIGHT;
    if (this.#isClosed || isBusy || this.#isScheduled) return;
    const now = this.#clock.now();
    const delay = Math.max(0, this.#lastCommitAt + COMMIT_INTERVAL_MS - now);
    this.#isScheduled = true;
    this.#clock.schedule(() => {
      this.#isScheduled = false;
      if (!this.#isClosed && this.#hasMore()) void this.#commitBatch();
    }, delay);
  }

  async #commitBatch(): Promise<void> {
    const batch = this.#makeBatch();
    this.#inFlight.push(batch);
    if (this.#hasMore()) this.#schedule();
    if (batch.records.length > 0) {
      this.#lastCommitAt = batch.sentAt;
      if (!await this.#writeSegment(batch)) return;
    }
    batch.isDone = true;
    this.#finishBatches();
    if (this.#hasMore()) this.#schedule();
    if (this.#lastSegment - this.#snapshotSegment >= SEGMENTS_PER_SNAPSHOT) {
      await this.#writeSnapshot();
    }
  }

  #finishBatches(): void {
    while (this.#inFlight.length > 0 && this.#inFlight[0].isDone) {
      for (const notify of this.#inFlight[0].onCommitted) notify();
      this.#inFlight.shift();
    }
  }

  /** Callbacks go with the last records that were added before them. */
  #makeBatch(): Batch {
    let length = 0;
    let count = 0;
    while (count < this.#records.length && length < MAX_COMMIT_LENGTH) {
      length += JSON.stringify(this.#records[count]).length;
      count++;
    }
    const records = this.#records.splice(0, count);
    const isLast = this.#records.length === 0;
    const onCommitted = isLast ? this.#onCommitted : [];
    if (isLast) this.#onCommitted = [];
    if (records.length > 0) this.#lastSegment++;
    return {
      segment: this.#lastSegment,
      records,
      onCommitted,
      sentAt: this.#clock.now(),
      isDone: false,
    };
  }

  async #writeSegment(batch: Batch): Promise<boolean> {
    const deletes = this.#obsolete.splice(0, DELETES_PER_COMMIT);
    const isCommitted = await this.#commit({
      key: formatSegmentKey(batch.segment),
      value: JSON.stringify(batch.records),
      deletes,
    });
    if (!isCommitted) return false;
    const elapsedMs = this.#clock.now() - batch.sentAt;
    this.#host.noteCommitSuccess(elapsedMs, batch.records.length);
    return true;
  }

  async #commit(
    write: { key: string; value: string; deletes: string[] },
  ): Promise<boolean> {
    let pause = RETRY_MS;
    for (let attempt = 1; !this.#isClosed; attempt++) {
      try {
        const { result } = await this.#store.commit({
          expected: [
            { key: this.#claim.key, revision: this.#claim.revision },
            { key: write.key, revision: 0 },
          ],
          puts: [{ key: write.key, value: write.value }],
          deletes: write.deletes,
        });
        if (result === TransactionResult.Applied) return true;
        return await this.#settleConflict(write.key, attempt > 1);
      } catch (error) {
        this.#host.noteCommitFailure(error);
      }
      await this.#clock.sleep(pause);
      pause = Math.min(pause * 2, RETRY_MS * 8);
    }
    return false;
  }

  /** After a lost answer a conflict may mean that the first try was applied. */
  async #settleConflict(key: string, wasRepeated: boolean): Promise<boolean> {
    while (wasRepeated && !this.#isClosed) {
      try {
        const owner = await this.#store.get(this.#claim.key);
        const isOwner = owner?.revision === this.#claim.revision;
        // Only the owner writes segments, so one that exists is this one.
        if (isOwner && await this.#store.get(key)) return true;
        break;
      } catch (error) {
        this.#host.noteCommitFailure(error);
        await this.#clock.sleep(RETRY_MS);
      }
    }
    this.close();
    this.#host.endOwnership("the claim of ownership was replaced");
    return false;
  }

  async #writeSnapshot(): Promise<void> {
    if (this.#isWritingSnapshot) return;
    this.#isWritingSnapshot = true;
    // Every record up to here is in the state that is exported now; segments
    // that are still under way are replayed over it, which changes nothing.
    const segment = this.#lastSegment - this.#inFlight.length;
    const text = JSON.stringify(this.#host.collectSnapshot());
    const parts = Math.max(1, Math.ceil(text.length / SNAPSHOT_PART_LENGTH));
    const keys: string[] = [];
    for (let part = 0; part < parts; part++) {
      const key = formatSnapshotKey({ segment, part, parts });
      keys.push(key);
      const value = text.slice(
        part * SNAPSHOT_PART_LENGTH,
        (part + 1) * SNAPSHOT_PART_LENGTH,
      );
      if (!await this.#commit({ key, value, deletes: [] })) return;
    }
    for (let from = this.#snapshotSegment + 1; from <= segment; from++) {
      this.#obsolete.push(formatSegmentKey(from));
    }
    this.#obsolete.push(...this.#snapshotKeys);
    this.#snapshotKeys = keys;
    this.#snapshotSegment = segment;
    this.#isWritingSnapshot = false;
  }
}
