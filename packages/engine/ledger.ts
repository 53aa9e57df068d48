import { assertInvariant, type Size } from "../base/mod.ts";
import type { EndpointSpec } from "./types.ts";

/** Why a task occupies an endpoint. */
export enum HoldReason {
  /** Started by this process, with its answer still open. */
  Started = "started",
  /** A service that runs until it is stopped. */
  Service = "service",
  /** Reserved for a task of a gang. */
  Reserved = "reserved",
  /** Started by a former owner. */
  Adopted = "adopted",
  /** Its answer was lost; it may still run. */
  Uncertain = "uncertain",
}

/** One occupation of an endpoint. */
export interface Hold {
  id: string;
  size: Size;
  team: string;
  /** Incarnation that started the task. */
  starter: string;
  reason: HoldReason;
  /** Since when the hold has this reason. */
  since: number;
  /** Listings in a row that did not show the task. */
  missing: number;
  /** True once a listing has shown the task. */
  listed: boolean;
}

/** Counts what one endpoint holds; never lets it exceed its size. */
export class EndpointLedger {
  readonly #holds = new Map<string, Hold>();
  readonly #used: Size = { cores: 0, memoryMb: 0, accelerators: 0 };
  readonly #onChange: () => void;
  #spec: EndpointSpec;

  /** `onChange` is called after the free room has changed. */
  constructor(spec: EndpointSpec, onChange: () => void = () => {}) {
    this.#spec = spec;
    this.#onChange = onChange;
  }

  /** The endpoint as the VM list describes it. */
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

  /** Slots that are free. */
  get freeSlots(): number {
    const { slots, connections } = this.spec;
    return Math.max(0, Math.min(slots, connections) - this.#holds.size);
  }

  /** Tells whether a task fits now. */
  fits(size: Size): boolean {
    return this.freeSlots > 0 && this.#fitsBeside(size);
  }

  /** Tells whether a task would fit if the endpoint were empty. */
  couldFit(size: Size): boolean {
    const { spec } = this;
    return spec.slots > 0 && size.cores <= spec.size.cores &&
      size.memoryMb <= spec.size.memoryMb &&
      size.accelerators <= spec.size.accelerators;
  }

  /** Returns a hold. */
  get(id: string): Hold | undefined {
    return this.#holds.get(id);
  }

  /** Lists the holds. */
  list(): IterableIterator<Hold> {
    return this.#holds.values();
  }

  /**
   * Occupies room for a task that is about to start.
   *
   * @throws {InvariantError} when the endpoint cannot hold it
   */
  reserve(hold: Hold): void {
    assertInvariant(
      !this.#holds.has(hold.id),
      `Task ${hold.id} is already on ${this.spec.id}`,
    );
    assertInvariant(
      this.fits(hold.size),
      `Task ${hold.id} does not fit on ${this.spec.id}`,
    );
    this.#add(hold);
  }

  /** Counts a task that runs already, whatever room there is. */
  adopt(hold: Hold): void {
    if (!this.#holds.has(hold.id)) this.#add(hold);
  }

  /** Frees the room of a task. */
  release(id: string): Hold | undefined {
    const hold = this.#holds.get(id);
    if (!hold) return undefined;
    this.#holds.delete(id);
    this.#count(hold.size, -1);
    return hold;
  }

  #add(hold: Hold): void {
    this.#holds.set(hold.id, hold);
    this.#count(hold.size, 1);
  }

  #count(size: Size, sign: number): void {
    this.#used.cores += sign * size.cores;
    this.#used.memoryMb += sign * size.memoryMb;
    this.#used.accelerators += sign * size.accelerators;
    this.#onChange();
  }

  #fitsBeside(size: Size): boolean {
    const { spec } = this;
    return this.#used.cores + size.cores <= spec.size.cores &&
      this.#used.memoryMb + size.memoryMb <= spec.size.memoryMb &&
      this.#used.accelerators + size.accelerators <= spec.size.accelerators;
  }
}
