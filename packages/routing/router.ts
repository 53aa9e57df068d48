import {
  Cause,
  type Clock,
  computeRetryAfter,
  makeNotRunOutcome,
  type Outcome,
  type Random,
  Verdict,
  type Work,
  WorkKind,
} from "../base/mod.ts";
import { chooseOwner } from "./choose_owner.ts";
import { REROUTABLE_CAUSES } from "./constants.ts";
import { GangRouter } from "./gang_router.ts";
import type { OwnerGateway } from "./owner_gateway.ts";
import { makeAttempt, type RoutedWork } from "./routed_work.ts";
import type { OwnerCandidate } from "./types.ts";

/** Sends work to an owner and, after a refusal, to others in turn. */
export class Router {
  readonly #gateway: OwnerGateway;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #domain: string;
  readonly #maxTries: number;
  readonly #gangs: GangRouter;

  constructor(
    options: {
      gateway: OwnerGateway;
      clock: Clock;
      random: Random;
      domain: string;
      maxTries: number;
      gangReservationMs: number;
      gangBackoffMs: number;
    },
  ) {
    this.#gateway = options.gateway;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#domain = options.domain;
    this.#maxTries = options.maxTries;
    this.#gangs = new GangRouter(options);
  }

  /** Routes work and resolves with its outcome; never throws. */
  async route(routed: RoutedWork): Promise<Outcome> {
    return routed.work.kind === WorkKind.Gang
      ? await this.#gangs.route(routed)
      : await this.#routeSingle(routed);
  }

  /** Cancels all attempts of a piece of work. */
  async cancel(routed: RoutedWork): Promise<void> {
    routed.cancelled = true;
    const expires = routed.work.deadline;
    await Promise.all(
      routed.sentAttempts.map(({ id, owner }) =>
        this.#gateway.cancelAttempt(owner, { id, expires })
      ),
    );
  }

  async #routeSingle(routed: RoutedWork): Promise<Outcome> {
    const excluded = new Set<string>();
    let lastRefusal = this.#makeNoEndpointOutcome();
    for (
      let attemptNumber = 0;
      attemptNumber < this.#maxTries;
      attemptNumber++
    ) {
      if (routed.cancelled) {
        return makeNotRunOutcome(Cause.Cancelled, "cancelled");
      }
      if (this.#clock.now() >= routed.work.deadline) break;
      const owner = this.#chooseOwner(routed.work, excluded);
      if (!owner) break;
      const attempt = makeAttempt(routed, String(attemptNumber));
      routed.sentAttempts.push({ id: attempt.id, owner });
      const outcome = await this.#gateway.runAttempt(owner, attempt);
      if (!isReroutable(outcome)) return outcome;
      lastRefusal = outcome;
      excluded.add(owner.incarnation);
    }
    return lastRefusal;
  }

  #chooseOwner(
    work: Work,
    excluded: ReadonlySet<string>,
  ): OwnerCandidate | undefined {
    const candidates = this.#gateway.listCandidates(this.#clock.now());
    const { size, team } = work;
    const request = { size, team, excluded };
    return chooseOwner(candidates, request, {
      domain: this.#domain,
      random: this.#random,
    });
  }

  #makeNoEndpointOutcome(): Outcome {
    const retryAfterMs = computeRetryAfter(0, this.#random);
    const detail = "no endpoint can accept the work at present";
    return makeNotRunOutcome(Cause.NoEndpoint, detail, { retryAfterMs });
  }
}

function isReroutable(outcome: Outcome): boolean {
  return outcome.verdict === Verdict.NotRun &&
    REROUTABLE_CAUSES.has(outcome.cause);
}
