import type { Vm, VmListing } from "../platform/mod.ts";
import { NEW_VM_GRACE_MS } from "./constants.ts";

/** Something that ends with its VM. */
export interface VmSubject {
  id: string;
  vm: string;
}

/** Follows the platform's VM list and tells which VMs are certainly gone. */
export class VmTracker {
  readonly #lagMs: number;
  readonly #vms = new Map<string, Vm>();
  readonly #everListed = new Set<string>();
  readonly #missingSince = new Map<string, number>();
  #revision = 0;
  #fetchedAt = 0;

  /** `lagMs` is the longest delay of the list, in milliseconds. */
  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Revision to ask changes for. */
  get revision(): number {
    return this.#revision;
  }

  /** All listed VMs by id. */
  get vms(): ReadonlyMap<string, Vm> {
    return this.#vms;
  }

  /** Adopts the answer to a call that was sent at `sentAt`. */
  observe(listing: VmListing, sentAt: number): void {
    if (!listing.complete && listing.revision < this.#revision) {
      // The list began anew: the next call asks for the whole of it.
      this.#revision = 0;
      return;
    }
    if (listing.complete) this.#vms.clear();
    for (const vm of listing.changed) this.#vms.set(vm.id, vm);
    for (const id of listing.removed) this.#vms.delete(id);
    for (const id of this.#vms.keys()) this.#everListed.add(id);
    this.#revision = listing.revision;
    this.#fetchedAt = sentAt;
  }

  /**
   * Returns the ids of those subjects that are gone with their VM: absent from
   * lists fetched over more than the list's lag, all of them after the subject
   * was first asked for. A VM that was never listed gets a longer grace,
   * because the list may not show it yet.
   */
  findGone(subjects: Iterable<VmSubject>, now: number): Set<string> {
    const gone = new Set<string>();
    if (this.#revision === 0) return gone;
    for (const { id, vm } of subjects) {
      if (this.#vms.has(vm)) {
        this.#missingSince.delete(id);
        continue;
      }
      const since = this.#missingSince.get(id) ?? now;
      this.#missingSince.set(id, since);
      if (this.#fetchedAt - since > this.#findGrace(vm)) gone.add(id);
    }
    return gone;
  }

  #findGrace(vm: string): number {
    if (this.#everListed.has(vm)) return this.#lagMs;
    return Math.max(this.#lagMs, NEW_VM_GRACE_MS);
  }
}
