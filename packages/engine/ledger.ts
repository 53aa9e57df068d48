import { assertInvariant, type Size } from "../base/mod.ts";
import type { EndpointSpec } from "./types.ts";

/** Why a hold takes resources of an endpoint. */
export enum HoldReason {
  /** The task was started by this process; its answer is outstanding. */
  Started = "started",
  /** A service that runs until it is stopped. */
  Service = "service",
  /** The resources are reserved for a task of a gang. */
  Reserved = "reserved",
  /**
   * The task was found in a listing without a hold, usually started by a former
   * owner.
   */
  Adopted = "adopted",
  /** The answer was lost; the task may still run. */
  Uncertain = "uncertain",
}

/** Resources and one slot of an endpoint that one task takes. */
export interface Hold {
  id: string;
  size: Size;
  team: string;
  /** Incarnation that started the task. */
  starter: string;
  reason: HoldReason;
  /** When the hold got this reason, in milliseconds since the Unix epoch. */
  since: number;
  /** Consecutive listings that did not contain the task. */
  missing: number;
  /** True once a listing has contained the task, and for reservations. */
  listed: boolean;
}

/**
 * Accounts for the resources and slots of one endpoint. Reserving never exceeds
 * the endpoint's capacity; adopting tasks that run already may.
 */
export class EndpointLedger {
  readonly #holds = new Map<string, Hold>();
  readonly #used: Size = { cores: 0, memoryMb: 0, accelerators: 0 };
  readonly #onChange: () => void;
  #spec: EndpointSpec;

  /** `onChange` is called after the free resources have changed. */
  constructor(spec: EndpointSpec, onChange: () => void = () => {}) {
    this.#spec = spec;
    this.#onChange = onChange;
  }

  /** Address, location and capacity, from the VM list. */
  get spec(): EndpointSpec {
    return this.#spec;
  }

  set spec(spec: EndpointSpec) {
    this.#spec = spec;
    this.#onChange();
  }

  /** Resources in use or reserved. */
  get used(): Readonly<Size> {
    return this.#used;
  }

  /** Slots in use or reserved. */
  get usedSlots(): number {
    return this.#holds.size;
  }

  /** Slots that are free and for which the endpoint has a connection. */
  get freeSlots(): number {
    const { slots, connections } = this.spec;
    return Math.max(0, Math.min(slots, connections) - this.#holds.size);
  }

  /** Returns whether a task fits into the free resources. */
  fits(size: Size): boolean {
    return this.freeSlots > 0 && this.#fitsResources(size);
  }

  /** Returns whether a task would fit if the endpoint were empty. */
  couldFit(size: Size): boolean {
    const { spec } = this;
    return spec.slots > 0 && size.cores <= spec.size.cores &&
      size.memoryMb <= spec.size.memoryMb &&
      size.accelerators <= spec.size.accelerators;
  }

  /** Returns a hold by its id. */
  get(id: string): Hold | undefined {
    return this.#holds.get(id);
  }

  /** Lists the holds. */
  list(): IterableIterator<Hold> {
    return this.#holds.values();
  }

  /**
   * Adds the hold of a task that is about to start or of a gang reservation.
   *
   * @throws {InvariantError} when the task does not fit or has a hold already
   */
  reserve(hold: Hold): void {
    assertInvariant(
      !this.#holds.has(hold.id),
      `Task ${hold.id} already has a hold on endpoint ${this.spec.id}`,
    );
    assertInvariant(
      this.fits(hold.size),
      `Task ${hold.id} does not fit on endpoint ${this.spec.id}`,
    );
    this.#add(hold);
  }

  /** Adds the hold of a task that runs already, even above the capacity. */
  adopt(hold: Hold): void {
    if (!this.#holds.has(hold.id)) this.#add(hold);
  }

  /** Removes and returns the hold of a task. */
  release(id: string): Hold | undefined {
    const hold = this.#holds.get(id);
    if (!hold) return undefined;
    this.#holds.delete(id);
    this.#changeUsed(hold.size, -1);
    return hold;
  }

  #add(hold: Hold): void {
    this.#holds.set(hold.id, hold);
    this.#changeUsed(hold.size, 1);
  }

  #changeUsed(size: Size, sign: number): void {
    this.#used.cores += sign * size.cores;
    this.#used.memoryMb += sign * size.memoryMb;
    this.#used.accelerators += sign * size.accelerators;
    this.#onChange();
  }

  #fitsResources(size: Size): boolean {
    const { spec } = this;
    return this.#used.cores + size.cores <= spec.size.cores &&
      this.#used.memoryMb + size.memoryMb <= spec.size.memoryMb &&
      this.#used.accelerators + size.accelerators <= spec.size.accelerators;
  }
}
