import { FormatError } from "../base/mod.ts";
import type { StoreRecord } from "../platform/mod.ts";

/** A parsed record and the revision of its last write. */
export interface CachedRecord<T> {
  value: T;
  modRevision: number;
}

/** Parsed records of one key prefix, by name: the key without the prefix. */
export class RecordCache<T> {
  readonly #prefix: string;
  readonly #records = new Map<string, CachedRecord<T>>();

  constructor(prefix: string) {
    this.#prefix = prefix;
  }

  /** Names of the records. */
  get names(): string[] {
    return [...this.#records.keys()];
  }

  /** Returns a record by its name. */
  get(name: string): CachedRecord<T> | undefined {
    return this.#records.get(name);
  }

  /** Returns the key of a record in the store. */
  getKey(name: string): string {
    return this.#prefix + name;
  }

  /** Returns the revision for a compare-and-swap; 0 for an absent record. */
  getRevision(name: string): number {
    return this.#records.get(name)?.modRevision ?? 0;
  }

  /** Lists the records with their names. */
  list(): IterableIterator<[string, CachedRecord<T>]> {
    return this.#records.entries();
  }

  /**
   * Parses and caches a record that was read; returns its name.
   *
   * @throws {FormatError} when the value is not JSON
   */
  observe(record: StoreRecord): string {
    const name = record.key.slice(this.#prefix.length);
    const value = parseValue<T>(record);
    this.#records.set(name, { value, modRevision: record.modRevision });
    return name;
  }

  /** Caches a record that this entry has written successfully. */
  set(name: string, record: CachedRecord<T>): void {
    this.#records.set(name, record);
  }

  /** Removes all records. */
  clear(): void {
    this.#records.clear();
  }
}

function parseValue<T>(record: StoreRecord): T {
  try {
    return JSON.parse(record.value);
  } catch (error) {
    throw new FormatError(`Cannot parse record ${record.key}`, {
      cause: error,
    });
  }
}
