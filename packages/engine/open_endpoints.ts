import type { EndpointState } from "./endpoint_state.ts";

/** Endpoints with a free slot, so that a full fleet costs no search. */
export class OpenEndpoints {
  readonly #list: EndpointState[] = [];
  readonly #positions = new Map<EndpointState, number>();

  /** The endpoints, in no particular order. */
  get list(): readonly EndpointState[] {
    return this.#list;
  }

  /** Adds or removes an endpoint by whether it has a free slot. */
  update(endpoint: EndpointState): void {
    const isOpen = endpoint.ledger.freeSlots > 0;
    if (isOpen === this.#positions.has(endpoint)) return;
    if (isOpen) this.#add(endpoint);
    else this.remove(endpoint);
  }

  /** Removes an endpoint by putting the last one in its place. */
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
