import {
  computeBucket,
  type Random,
  UnknownEffectError,
} from "../../packages/base/mod.ts";
import type { AdviceAnswer } from "../../packages/cell/mod.ts";
import {
  type AdviceRules,
  formatStageName,
  parseTaskName,
} from "../../packages/jobs/mod.ts";
import { AdviceService } from "../../packages/scheduler/mod.ts";
import type { FakeEndpoint } from "../cell/fake_endpoint.ts";
import type { ProcessClock } from "./virtual_time.ts";

/** Rules of the queues with advice. */
export const ADVICE_RULES: AdviceRules = {
  decideMs: 10,
  perEndpointMs: 2,
  validMs: 2_500,
};

/** For each step, one of this many addresses of endpoints is not allowed. */
const ADDRESSES = 5;

/** Who may run a step, and whether a ticket proves it. */
export class TicketOffice {
  readonly #random: Random;
  /** Share of calls that get no answer, from 0 to 1. */
  failureRate = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  /** Draws whether a call gets no answer. */
  drawFailure(): boolean {
    return this.failureRate > 0 && this.#random.drawFloat() < this.failureRate;
  }

  /** Returns a ticket for a step, bound to one lifetime; undefined: not allowed. */
  makeTicket(
    stage: string,
    { id, address, bornAt }: FakeEndpoint,
    now: number,
  ): string | undefined {
    const forbidden = `w${computeBucket(stage, ADDRESSES)}`;
    if (address === forbidden) return undefined;
    return [stage, id, bornAt, now + ADVICE_RULES.validMs].join("|");
  }

  /** Tells whether a ticket allows a task on an endpoint now. */
  canUseTicket(
    { task, ticket }: { task: string; ticket: string },
    { id, bornAt }: FakeEndpoint,
    now: number,
  ): boolean {
    const parts = parseTaskName(task);
    if (!parts) return false;
    const [stage, endpoint, lifetime, endsAt] = ticket.split("|");
    return stage === formatStageName(parts) && endpoint === id &&
      Number(lifetime) === bornAt && now < Number(endsAt);
  }
}

/** Policy service as one entry reaches it. */
export class FakeAdviceService extends AdviceService {
  readonly #parts: {
    office: TicketOffice;
    clock: ProcessClock;
    findUpEndpoint: (id: string) => FakeEndpoint | undefined;
  };

  constructor(parts: {
    office: TicketOffice;
    clock: ProcessClock;
    findUpEndpoint: (id: string) => FakeEndpoint | undefined;
  }) {
    super();
    this.#parts = parts;
  }

  override async ask(
    { stage, endpoints, timeoutMs }: {
      stage: string;
      endpoints: readonly string[];
      timeoutMs: number;
    },
  ): Promise<AdviceAnswer> {
    const { office, clock, findUpEndpoint } = this.#parts;
    const { decideMs, perEndpointMs, validMs } = ADVICE_RULES;
    if (office.drawFailure()) {
      await clock.sleep(timeoutMs);
      throw new UnknownEffectError("no answer");
    }
    await clock.sleep(decideMs + perEndpointMs * endpoints.length);
    const now = clock.readSiteTime();
    const tickets = endpoints.flatMap((id) => {
      const endpoint = findUpEndpoint(id);
      const ticket = endpoint && office.makeTicket(stage, endpoint, now);
      return ticket ? [{ endpoint: id, ticket }] : [];
    });
    return { tickets, validMs };
  }

  override async close(): Promise<void> {}
}
