import type { Clock } from "../base/mod.ts";
import { type KeyValueStore, TransactionResult } from "../storage/mod.ts";
import {
  COMMIT_INTERVAL_MS,
  DELETES_PER_COMMIT,
  MAX_COMMIT_LENGTH,
  RETRY_MS,
  SEGMENTS_PER_SNAPSHOT,
  SNAPSHOT_PART_LENGTH,
} from "./constants.ts";
import { formatSegmentKey, formatSnapshotKey } from "./load.ts";
import type { JournalRecord, OwnerClaim } from "./types.ts";

/** What the journal tells its owner. */
export abstract class JournalHost {
  /** Exports all state that the committed and pending records led to. */
  abstract exportSnapshot(): unknown;

  /** The claim of ownership no longer holds; nothing more can be written. */
  abstract loseOwnership(reason: string): void;

  /** A commit has had no answer, or was refused. */
  abstract noteCommitFailure(error: unknown): void;

  /** A commit has been answered. */
  abstract noteCommitSuccess(elapsedMs: number, records: number): void;
}

interface Batch {
  records: JournalRecord[];
  onCommitted: (() => void)[];
}

/**
 * Commits records in groups, one commit at a time. The key of a segment must
 * not exist yet, and the owner's claim must hold: so a commit that is sent
 * twice, or that takes effect late, is applied once or never.
 */
export class Journal {
  readonly #store: KeyValueStore;
  readonly #clock: Clock;
  readonly #host: JournalHost;
  readonly #claim: OwnerClaim;
  #segment: number;
  #snapshotSegment: number;
  #obsolete: string[];
  #snapshotKeys: string[] = [];
  #pending: Batch = { records: [], onCommitted: [] };
  #lastCommitAt = 0;
  #inFlight: Batch | undefined;
  #inFlightSince = 0;
  #isScheduled = false;
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
    this.#segment = options.lastSegment;
    this.#snapshotSegment = options.snapshotSegment;
    this.#obsolete = [...options.obsolete];
  }

  /** Adds records; `onCommitted` is called once the store holds them. */
  append(records: JournalRecord[], onCommitted?: () => void): void {
    this.#pending.records.push(...records);
    if (onCommitted) this.#pending.onCommitted.push(onCommitted);
    this.#schedule();
  }

  /** Tells for how long the commit under way has had no answer, in ms. */
  measureDelay(now: number): number {
    return this.#inFlight ? now - this.#inFlightSince : 0;
  }

  /** Resolves once all records so far are committed or the journal is closed. */
  async drain(): Promise<void> {
    while (!this.#isClosed && (this.#inFlight || this.#hasPending())) {
      await this.#clock.sleep(COMMIT_INTERVAL_MS);
    }
  }

  /** Sends nothing more. */
  close(): void {
    this.#isClosed = true;
  }

  #hasPending(): boolean {
    const { records, onCommitted } = this.#pending;
    return records.length > 0 || onCommitted.length > 0;
  }

  #schedule(): void {
    if (this.#isClosed || this.#inFlight || this.#isScheduled) return;
    const now = this.#clock.now();
    const delay = Math.max(0, this.#lastCommitAt + COMMIT_INTERVAL_MS - now);
    this.#isScheduled = true;
    this.#clock.schedule(() => {
      this.#isScheduled = false;
      if (!this.#inFlight && !this.#isClosed) void this.#commitBatch();
    }, delay);
  }

  async #commitBatch(): Promise<void> {
    const batch = this.#takeBatch();
    this.#inFlight = batch;
    this.#lastCommitAt = this.#clock.now();
    this.#inFlightSince = this.#lastCommitAt;
    const isCommitted = batch.records.length === 0 ||
      await this.#writeSegment(batch);
    this.#inFlight = undefined;
    if (!isCommitted) return;
    for (const notify of batch.onCommitted) notify();
    if (this.#segment - this.#snapshotSegment >= SEGMENTS_PER_SNAPSHOT) {
      await this.#writeSnapshot();
    }
    if (this.#hasPending()) this.#schedule();
  }

  /** Callbacks go with the last records that were added before them. */
  #takeBatch(): Batch {
    const { records, onCommitted } = this.#pending;
    let length = 0;
    let count = 0;
    while (count < records.length && length < MAX_COMMIT_LENGTH) {
      length += JSON.stringify(records[count]).length;
      count++;
    }
    if (count === records.length) {
      this.#pending = { records: [], onCommitted: [] };
      return { records, onCommitted };
    }
    this.#pending = { records: records.slice(count), onCommitted };
    return { records: records.slice(0, count), onCommitted: [] };
  }

  async #writeSegment(batch: Batch): Promise<boolean> {
    const key = formatSegmentKey(this.#segment + 1);
    const deletes = this.#obsolete.slice(0, DELETES_PER_COMMIT);
    const isCommitted = await this.#commit({
      key,
      value: JSON.stringify(batch.records),
      deletes,
    });
    if (!isCommitted) return false;
    this.#segment++;
    this.#obsolete.splice(0, deletes.length);
    const elapsedMs = this.#clock.now() - this.#inFlightSince;
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
    this.#host.loseOwnership("the claim of ownership was replaced");
    return false;
  }

  async #writeSnapshot(): Promise<void> {
    const segment = this.#segment;
    const text = JSON.stringify(this.#host.exportSnapshot());
    const parts = Math.max(1, Math.ceil(text.length / SNAPSHOT_PART_LENGTH));
    const keys: string[] = [];
    for (let part = 0; part < parts; part++) {
      const key = formatSnapshotKey(segment, part, parts);
      keys.push(key);
      const value = text.slice(
        part * SNAPSHOT_PART_LENGTH,
        (part + 1) * SNAPSHOT_PART_LENGTH,
      );
      if (!await this.#commit({ key, value, deletes: [] })) return;
    }
    const from = this.#snapshotSegment;
    for (let number = from + 1; number <= segment; number++) {
      this.#obsolete.push(formatSegmentKey(number));
    }
    this.#obsolete.push(...this.#snapshotKeys);
    this.#snapshotKeys = keys;
    this.#snapshotSegment = segment;
  }
}
