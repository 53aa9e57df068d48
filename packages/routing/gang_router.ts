import {
  Cause,
  type Clock,
  computeRetryAfter,
  makeMayHaveRunOutcome,
  makeNotRunOutcome,
  makeRanOutcome,
  type Outcome,
  type Random,
  Verdict,
} from "../base/mod.ts";
import type { OwnerGateway } from "./owner_gateway.ts";
import { makeAttempt, type RoutedWork } from "./routed_work.ts";
import type { OwnerCandidate } from "./types.ts";

/** Resources reserved for `tasks` tasks on an owner; `hold` is the id there. */
interface Reservation {
  owner: OwnerCandidate;
  hold: string;
  tasks: number;
}

/**
 * Places all tasks of a gang or none. Owners are asked in the order of their
 * incarnations, so that two gangs do not block each other for long with partial
 * reservations; reservations expire by themselves.
 */
export class GangRouter {
  readonly #gateway: OwnerGateway;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #reservationMs: number;
  readonly #backoffMs: number;

  constructor(
    options: {
      gateway: OwnerGateway;
      clock: Clock;
      random: Random;
      gangReservationMs: number;
      gangBackoffMs: number;
    },
  ) {
    this.#gateway = options.gateway;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#reservationMs = options.gangReservationMs;
    this.#backoffMs = options.gangBackoffMs;
  }

  /** Routes a gang and resolves with its outcome; never throws. */
  async route(routed: RoutedWork): Promise<Outcome> {
    for (let round = 0;; round++) {
      if (routed.cancelled) {
        return makeNotRunOutcome(Cause.Cancelled, "cancelled");
      }
      const reservations = await this.#reserveAll(routed, round);
      if (countTasks(reservations) === routed.work.tasks) {
        return await this.#startAll(routed, reservations);
      }
      await this.#releaseAll(reservations);
      const pauseMs = this.#backoffMs * (0.5 + this.#random.drawFloat() / 2);
      if (this.#clock.now() + pauseMs >= routed.work.deadline) {
        return this.#makeRefusal();
      }
      await this.#clock.sleep(pauseMs);
    }
  }

  async #reserveAll(
    routed: RoutedWork,
    round: number,
  ): Promise<Reservation[]> {
    const { work } = routed;
    const reservations: Reservation[] = [];
    const owners = this.#gateway.listCandidates(this.#clock.now())
      .filter((owner) => !owner.draining && owner.load.endpoints > 0)
      .sort((a, b) => a.incarnation < b.incarnation ? -1 : 1);
    for (const owner of owners) {
      const missingTasks = work.tasks - countTasks(reservations);
      if (missingTasks === 0) break;
      const hold = `${work.id}.${round}.${owner.incarnation}`;
      const reservation = { owner, hold, tasks: 0 };
      // Listed before the answer, even if no task is confirmed: after a lost
      // answer, the owner may hold a reservation that has to be released.
      reservations.push(reservation);
      reservation.tasks = await this.#gateway.reserve(owner, {
        hold,
        team: work.team,
        tasks: missingTasks,
        size: work.size,
        expires: this.#clock.now() + this.#reservationMs,
      });
    }
    return reservations;
  }

  async #releaseAll(reservations: Reservation[]): Promise<void> {
    await Promise.all(
      reservations.map(({ owner, hold }) => this.#gateway.release(owner, hold)),
    );
  }

  async #startAll(
    routed: RoutedWork,
    reservations: Reservation[],
  ): Promise<Outcome> {
    const runs: Promise<Outcome>[] = [];
    for (const { owner, hold, tasks } of reservations) {
      for (let task = 0; task < tasks; task++) {
        const attempt = { ...makeAttempt(routed, `t${runs.length}`), hold };
        routed.sentAttempts.push({ id: attempt.id, owner });
        runs.push(this.#gateway.runAttempt(owner, attempt));
      }
    }
    // When one task does not run, the rest of the gang is cancelled.
    const guardedRuns = runs.map(async (run) => {
      const outcome = await run;
      if (outcome.verdict === Verdict.NotRun) await this.#cancelAll(routed);
      return outcome;
    });
    return joinOutcomes(await Promise.all(guardedRuns));
  }

  async #cancelAll(routed: RoutedWork): Promise<void> {
    const expires = routed.work.deadline;
    await Promise.all(
      routed.sentAttempts.map(({ id, owner }) =>
        this.#gateway.cancelAttempt(owner, { id, expires })
      ),
    );
  }

  #makeRefusal(): Outcome {
    const retryAfterMs = computeRetryAfter(this.#backoffMs, this.#random);
    const detail = "not enough free capacity for all tasks before the deadline";
    return makeNotRunOutcome(Cause.GangIncomplete, detail, { retryAfterMs });
  }
}

/** Joins the outcomes of a gang's tasks into one outcome for the gang. */
export function joinOutcomes(outcomes: Outcome[]): Outcome {
  const hasVerdict = (verdict: Verdict) =>
    outcomes.some((outcome) => outcome.verdict === verdict);
  const answers = outcomes.flatMap((outcome) => outcome.answers);
  if (!hasVerdict(Verdict.NotRun) && !hasVerdict(Verdict.MayHaveRun)) {
    return makeRanOutcome(answers);
  }
  const firstFailure = outcomes.find((outcome) =>
    outcome.verdict !== Verdict.Ran
  )!;
  if (!hasVerdict(Verdict.Ran) && !hasVerdict(Verdict.MayHaveRun)) {
    return makeNotRunOutcome(firstFailure.cause, firstFailure.detail);
  }
  const detail = `only some of the tasks ran: ${firstFailure.detail}`;
  return makeMayHaveRunOutcome(Cause.GangIncomplete, detail);
}

function countTasks(reservations: Reservation[]): number {
  return reservations.reduce((sum, { tasks }) => sum + tasks, 0);
}
