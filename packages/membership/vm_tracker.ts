import type { Vm, VmListing } from "../platform/mod.ts";
import { NEW_VM_GRACE_MS } from "./constants.ts";

/** A process or endpoint that is gone when its VM is gone. */
export interface VmSubject {
  id: string;
  vm: string;
}

/** Tracks the platform's VM list and finds VMs that are certainly gone. */
export class VmTracker {
  readonly #lagMs: number;
  readonly #vms = new Map<string, Vm>();
  readonly #everListed = new Set<string>();
  readonly #missingSince = new Map<string, number>();
  #revision = 0;
  #lastCallSentAt = 0;

  /** `lagMs` is the longest lag of the list, in milliseconds. */
  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Revision from which to request changes; 0 requests the complete list. */
  get revision(): number {
    return this.#revision;
  }

  /** All listed VMs by id. */
  get vms(): ReadonlyMap<string, Vm> {
    return this.#vms;
  }

  /** Applies the answer to a list call that was sent at `sentAt`. */
  observe(listing: VmListing, sentAt: number): void {
    if (!listing.complete && listing.revision < this.#revision) {
      // A lower revision shows that the list was reset, so the next call
      // requests the complete list.
      this.#revision = 0;
      return;
    }
    if (listing.complete) this.#vms.clear();
    for (const vm of listing.changed) this.#vms.set(vm.id, vm);
    for (const id of listing.removed) this.#vms.delete(id);
    for (const id of this.#vms.keys()) this.#everListed.add(id);
    this.#revision = listing.revision;
    this.#lastCallSentAt = sentAt;
  }

  /**
   * Returns the ids of the subjects that are certainly gone with their VMs. The
   * list may lag, so a VM counts as gone only when it is also missing from a
   * list that was requested longer than the lag after the first call that found
   * the subject's VM missing. A VM that was never listed gets a longer grace
   * period, because the list may not contain it yet.
   */
  findGone(subjects: Iterable<VmSubject>, now: number): Set<string> {
    const gone = new Set<string>();
    if (this.#revision === 0) return gone;
    for (const { id, vm } of subjects) {
      if (this.#vms.has(vm)) {
        this.#missingSince.delete(id);
        continue;
      }
      const missingSince = this.#missingSince.get(id) ?? now;
      this.#missingSince.set(id, missingSince);
      if (this.#lastCallSentAt - missingSince > this.#computeGraceMs(vm)) {
        gone.add(id);
      }
    }
    return gone;
  }

  #computeGraceMs(vm: string): number {
    if (this.#everListed.has(vm)) return this.#lagMs;
    return Math.max(this.#lagMs, NEW_VM_GRACE_MS);
  }
}
