import type { Endpoint, StartOrder } from "../cell/mod.ts";
import { MAX_PENDING_STARTS } from "./constants.ts";

/** A committed start order that waits for others to be answered. */
interface WaitingStart {
  order: StartOrder;
  /** Returns whether it may still be sent; if not, the task has been requeued. */
  mayStart: () => boolean;
}

/** The start orders to one endpoint. */
interface EndpointStarts {
  pending: number;
  waiting: WaitingStart[];
}

/**
 * Sends start orders, few at a time to each endpoint: each one that gets no answer extends
 * the leases that a lost endpoint may still hold. Starts with a ticket end with it and are
 * sent at once, and so are the members of a gang, which wait for each other.
 */
export class StartPacer {
  readonly #send: (order: StartOrder) => Promise<void>;
  readonly #starts = new Map<Endpoint, EndpointStarts>();

  /** `send`: sends an order; resolves once it is answered or has timed out. */
  constructor(send: (order: StartOrder) => Promise<void>) {
    this.#send = send;
  }

  /** Sends a start order now, or once earlier ones to the endpoint are answered. */
  add(order: StartOrder, mayStart: () => boolean): void {
    const { run } = order;
    if (run.hasTicket || run.gangStart) return void this.#send(order);
    const { endpoint } = run;
    const starts = this.#starts.get(endpoint) ?? { pending: 0, waiting: [] };
    this.#starts.set(endpoint, starts);
    starts.waiting.push({ order, mayStart });
    this.#sendDue(endpoint, starts);
  }

  /**
   * Sends the starts that wait, however many are on their way. The next owner would wait
   * for each of them, as it can't know that it was not sent.
   */
  sendWaiting(): void {
    for (const [endpoint, starts] of [...this.#starts]) {
      for (const { order, mayStart } of starts.waiting.splice(0)) {
        if (mayStart()) void this.#sendOne(endpoint, starts, order);
      }
    }
  }

  #sendDue(endpoint: Endpoint, starts: EndpointStarts): void {
    while (starts.waiting.length > 0) {
      if (starts.pending >= MAX_PENDING_STARTS) return;
      const next = starts.waiting.shift();
      if (next?.mayStart()) void this.#sendOne(endpoint, starts, next.order);
    }
    if (starts.pending === 0) this.#starts.delete(endpoint);
  }

  async #sendOne(
    endpoint: Endpoint,
    starts: EndpointStarts,
    order: StartOrder,
  ): Promise<void> {
    starts.pending++;
    await this.#send(order);
    starts.pending--;
    this.#sendDue(endpoint, starts);
  }
}
