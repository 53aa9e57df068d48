import type { StoreChange, StoredItem } from "../storage/mod.ts";

/** A stored request, whose key says everything. */
export interface RequestRecord {
  key: string;
  revision: number;
  /** It was not taken at this revision before. */
  isNew: boolean;
}

/** The keys of one prefix, from a list and the changes that follow it. */
export class RequestRecords {
  #revisions = new Map<string, number>();
  readonly #takenRevisions = new Map<string, number>();

  /** Replaces all records by those of a list. */
  adoptList(items: readonly StoredItem[]): void {
    this.#revisions = new Map(
      items.map(({ key, revision }) => [key, revision]),
    );
  }

  /**
   * Applies a change unless a later revision of the key is known: a list of several
   * pages may hold changes that the watch after it repeats.
   */
  applyChange({ key, value, revision }: StoreChange): void {
    if (revision <= (this.#revisions.get(key) ?? 0)) return;
    if (value === undefined) this.#revisions.delete(key);
    else this.#revisions.set(key, revision);
  }

  /** Lists all records and notes that they have been taken. */
  listAll(): RequestRecord[] {
    const records = [...this.#revisions].map(([key, revision]) => ({
      key,
      revision,
      isNew: revision !== this.#takenRevisions.get(key),
    }));
    this.#takenRevisions.clear();
    for (const { key, revision } of records) {
      this.#takenRevisions.set(key, revision);
    }
    return records;
  }
}
