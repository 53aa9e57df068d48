import type { AdviceAnswer, Stage } from "../cell/mod.ts";
import { type Link, LINK_HEARTBEAT_MS } from "../links/mod.ts";
import { ADVICE_TIMEOUT_MARGIN_MS } from "./constants.ts";
import type { AdviceService } from "./ports.ts";

/** Idle time of a link after which its entry gets no calls, in milliseconds. */
const MAX_LINK_IDLE_MS = 2 * LINK_HEARTBEAT_MS;

/** An entry that can call the policy service. */
interface AdviceClient {
  /** Link to the entry; absent for this entry itself. */
  link?: Link;
  /** Predicted duration of the calls in flight, in milliseconds. */
  backlogMs: number;
}

interface AdviceCall {
  stage: Stage;
  endpoints: string[];
  /** Predicted duration of the call, in milliseconds. */
  costMs: number;
}

/**
 * Spreads the calls to the policy service over all entries. The service handles
 * the calls of one VM one at a time, and every step may need a call.
 */
export class AdvicePool {
  readonly #service: AdviceService;
  readonly #listLinks: () => Link[];
  readonly #localClient: AdviceClient = { backlogMs: 0 };
  readonly #remoteClients = new Map<Link, AdviceClient>();

  constructor(options: {
    service: AdviceService;
    listLinks: () => Link[];
  }) {
    this.#service = options.service;
    this.#listLinks = options.listLinks;
  }

  /**
   * Calls the policy service through the entry with the least backlog.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  async ask(call: AdviceCall): Promise<AdviceAnswer> {
    const client = this.#chooseClient();
    const timeoutMs = client.backlogMs + call.costMs + ADVICE_TIMEOUT_MARGIN_MS;
    client.backlogMs += call.costMs;
    try {
      const { endpoints } = call;
      const stage = call.stage.name;
      return client.link
        ? await client.link.call(
          "advice.ask",
          { stage, endpoints, timeoutMs },
          { timeoutMs },
        )
        : await this.#service.ask({ stage, endpoints, timeoutMs });
    } finally {
      client.backlogMs -= call.costMs;
    }
  }

  /** Lists the backlog of each available entry, in milliseconds. */
  listBacklogs(): number[] {
    this.#updateRemoteClients();
    return this.#listAvailableClients().map(({ backlogMs }) => backlogMs);
  }

  /** Describes the backlog of each entry for a dump. */
  describe(): { entry: string; backlogMs: number }[] {
    return [this.#localClient, ...this.#remoteClients.values()].map((
      client,
    ) => ({
      entry: client.link?.peer ?? "self",
      backlogMs: Math.round(client.backlogMs),
    }));
  }

  #chooseClient(): AdviceClient {
    this.#updateRemoteClients();
    // At equal backlogs, `<=` prefers a remote entry: this entry owns the cell
    // and has the most other work.
    return this.#listAvailableClients().reduce((leastLoaded, client) =>
      client.backlogMs <= leastLoaded.backlogMs ? client : leastLoaded
    );
  }

  #updateRemoteClients(): void {
    const links = new Set(this.#listLinks());
    for (const link of this.#remoteClients.keys()) {
      if (!links.has(link)) this.#remoteClients.delete(link);
    }
    for (const link of links) {
      if (!this.#remoteClients.has(link)) {
        this.#remoteClients.set(link, { link, backlogMs: 0 });
      }
    }
  }

  /** Lists this entry and the entries whose links are not idle too long. */
  #listAvailableClients(): AdviceClient[] {
    const available = [...this.#remoteClients.values()].filter(({ link }) =>
      link !== undefined && link.measureIdleTime() <= MAX_LINK_IDLE_MS
    );
    return [this.#localClient, ...available];
  }
}
