/**
 * Keys of endpoints' records that have not been written since an outage of the store.
 * During it, an endpoint could not record a change of its room, so that its record may
 * be out of date although it was read just now. An endpoint that reaches the store
 * writes its record again soon after the outage.
 */
export class UnconfirmedRecords {
  readonly #keys = new Set<string>();
  /** Time from which the records are too old to start tasks on, in ms. */
  #from = Number.POSITIVE_INFINITY;
  /** Time by which all endpoints that reach the store have written, in ms. */
  #until = Number.NEGATIVE_INFINITY;

  /** Notes the records that were not written since an outage. Times: steady clock. */
  begin(
    keys: Iterable<string>,
    { from, until }: { from: number; until: number },
  ): void {
    this.#from = this.#keys.size > 0 ? Math.min(this.#from, from) : from;
    this.#until = until;
    this.#keys.clear();
    for (const key of keys) this.#keys.add(key);
  }

  /** Notes that a record was written. */
  confirm(key: string): void {
    this.#keys.delete(key);
  }

  /** Returns whether a record is too old to start tasks on its endpoint. */
  has(key: string, now: number): boolean {
    return now >= this.#from && now < this.#until && this.#keys.has(key);
  }
}
