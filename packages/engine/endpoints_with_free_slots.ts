import type { EndpointState } from "./endpoint_state.ts";

/**
 * Owned endpoints with a free slot. Placement searches only these, so a full
 * fleet costs no search.
 */
export class EndpointsWithFreeSlots {
  readonly #list: EndpointState[] = [];
  readonly #positions = new Map<EndpointState, number>();

  /** The endpoints, in no particular order. */
  get list(): readonly EndpointState[] {
    return this.#list;
  }

  /** Adds an endpoint that has a free slot and removes one that has none. */
  update(endpoint: EndpointState): void {
    const hasFreeSlot = endpoint.ledger.freeSlots > 0;
    if (hasFreeSlot === this.#positions.has(endpoint)) return;
    if (hasFreeSlot) this.#add(endpoint);
    else this.remove(endpoint);
  }

  /** Removes an endpoint in constant time: the last one takes its position. */
  remove(endpoint: EndpointState): void {
    const position = this.#positions.get(endpoint);
    if (position === undefined) return;
    this.#positions.delete(endpoint);
    const last = this.#list.pop()!;
    if (last === endpoint) return;
    this.#list[position] = last;
    this.#positions.set(last, position);
  }

  #add(endpoint: EndpointState): void {
    this.#positions.set(endpoint, this.#list.length);
    this.#list.push(endpoint);
  }
}
