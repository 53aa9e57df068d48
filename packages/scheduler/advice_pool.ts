import type { AdviceAnswer, Stage } from "../cell/mod.ts";
import { type Link, LINK_HEARTBEAT_MS } from "../links/mod.ts";
import { ADVICE_SLACK_MS } from "./constants.ts";
import type { AdviceService } from "./ports.ts";

/** An entry that was silent for longer may be cut off: two heartbeats. */
const MAX_SILENCE_MS = 2 * LINK_HEARTBEAT_MS;

interface Caller {
  /** Nothing: this entry itself. */
  link?: Link;
  /** Predicted time of the calls under way, in milliseconds. */
  backlogMs: number;
}

interface Call {
  stage: Stage;
  endpoints: string[];
  costMs: number;
}

/**
 * Answers the load "every step needs advice, and the service takes the calls
 * of one VM one after the other": spreads the calls over all entries.
 */
export class AdvicePool {
  readonly #service: AdviceService;
  readonly #listLinks: () => Link[];
  readonly #self: Caller = { backlogMs: 0 };
  readonly #callers = new Map<Link, Caller>();

  constructor(options: {
    service: AdviceService;
    listLinks: () => Link[];
  }) {
    this.#service = options.service;
    this.#listLinks = options.listLinks;
  }

  /**
   * Asks through the entry that is predicted to be free first.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  async ask(call: Call): Promise<AdviceAnswer> {
    const caller = this.#chooseCaller();
    const timeoutMs = caller.backlogMs + call.costMs + ADVICE_SLACK_MS;
    caller.backlogMs += call.costMs;
    try {
      const { endpoints } = call;
      const stage = call.stage.name;
      return caller.link
        ? await caller.link.call(
          "advice.ask",
          { stage, endpoints, timeoutMs },
          { timeoutMs },
        )
        : await this.#service.ask({ stage, endpoints, timeoutMs });
    } finally {
      caller.backlogMs -= call.costMs;
    }
  }

  /** Lists how long each entry that can ask is busy, in milliseconds. */
  listLanes(): number[] {
    this.#updateCallers();
    return this.#listAsking().map(({ backlogMs }) => backlogMs);
  }

  /** Describes the calls under way, for a dump. */
  describe(): { entry: string; backlogMs: number }[] {
    return [this.#self, ...this.#callers.values()].map((caller) => ({
      entry: caller.link?.peer ?? "self",
      backlogMs: Math.round(caller.backlogMs),
    }));
  }

  #chooseCaller(): Caller {
    this.#updateCallers();
    // The owner has most to do: at equal backlogs another entry asks.
    return this.#listAsking().reduce((best, caller) =>
      caller.backlogMs <= best.backlogMs ? caller : best
    );
  }

  #updateCallers(): void {
    const links = this.#listLinks();
    for (const link of this.#callers.keys()) {
      if (!links.includes(link)) this.#callers.delete(link);
    }
    for (const link of links) {
      if (!this.#callers.has(link)) {
        this.#callers.set(link, { link, backlogMs: 0 });
      }
    }
  }

  /** This entry, and the others that have not fallen silent. */
  #listAsking(): Caller[] {
    const others = [...this.#callers.values()].filter(({ link }) =>
      link !== undefined && link.measureSilence() <= MAX_SILENCE_MS
    );
    return [this.#self, ...others];
  }
}
