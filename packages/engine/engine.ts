import { match } from "ts-pattern";
import type { Random } from "../base/mod.ts";
import type { TaskCounts } from "../membership/mod.ts";
import { cancelAttempt, settleAttempt } from "./actions/cancel.ts";
import { changeEndpoints, drainEngine, tickEngine } from "./actions/changes.ts";
import { releaseReservation, reserveForGang } from "./actions/gang.ts";
import { observeListing, recordListFailure } from "./actions/listed.ts";
import { startWaitingAttempts } from "./actions/start_waiting.ts";
import { submitAttempt } from "./actions/submit.ts";
import { endTask } from "./actions/task_ended.ts";
import { HoldReason } from "./ledger.ts";
import type { PlacementPolicy } from "./placement.ts";
import { type ActionContext, EngineState } from "./state.ts";
import {
  AttemptStage,
  type Decision,
  type EngineEvent,
  EngineEventType,
} from "./types.ts";

/**
 * Schedules attempts on the endpoints that one entry owns. Performs no input or
 * output: a driver feeds it events and carries out its decisions.
 */
export class Engine {
  readonly state: EngineState;

  constructor(
    options: {
      incarnation: string;
      random: Random;
      placement: PlacementPolicy;
    },
  ) {
    this.state = new EngineState(options);
  }

  /**
   * Handles one event and returns the resulting decisions. `now` is in
   * milliseconds since the Unix epoch.
   *
   * @throws {InvariantError} when a decision would break an invariant
   */
  handle(event: EngineEvent, now: number): Decision[] {
    const { state } = this;
    const context: ActionContext = { state, now, decisions: [] };
    match(event)
      .with({ type: EngineEventType.Submit }, ({ attempt }) => {
        submitAttempt(context, attempt);
      })
      .with({ type: EngineEventType.TaskEnded }, (ended) => {
        endTask(context, ended);
      })
      .with({ type: EngineEventType.Listed }, (listed) => {
        observeListing(context, listed);
      })
      .with({ type: EngineEventType.ListFailed }, ({ endpoint }) => {
        recordListFailure(context, endpoint);
      })
      .with({ type: EngineEventType.Cancel }, (cancel) => {
        cancelAttempt(context, cancel);
      })
      .with({ type: EngineEventType.Settle }, (settle) => {
        settleAttempt(context, settle);
      })
      .with({ type: EngineEventType.Reserve }, ({ request }) => {
        reserveForGang(context, request);
      })
      .with({ type: EngineEventType.ReleaseReservation }, ({ hold }) => {
        releaseReservation(context, hold);
      })
      .with({ type: EngineEventType.EndpointsChanged }, (changed) => {
        changeEndpoints(context, changed);
      })
      .with({ type: EngineEventType.GrantsChanged }, ({ grants }) => {
        state.grants = grants;
        startWaitingAttempts(context);
      })
      .with({ type: EngineEventType.SharesChanged }, ({ shares }) => {
        state.shares = shares;
      })
      .with({ type: EngineEventType.Drain }, () => drainEngine(context))
      .with({ type: EngineEventType.Tick }, () => tickEngine(context))
      .exhaustive();
    return context.decisions;
  }

  /** Returns the outcome of an attempt that has ended. */
  findOutcome(attempt: string) {
    return this.state.attempts.get(attempt)?.outcome;
  }

  /**
   * Returns whether no attempt waits or runs and no gang reservation is held.
   */
  isIdle(): boolean {
    for (const record of this.state.attempts.values()) {
      if (record.stage !== AttemptStage.Ended) return false;
    }
    return this.state.gangReservations.size === 0;
  }

  /**
   * Returns a team's demand for grants, in tasks. `waiting` includes the recent
   * shortfall of a gang reservation.
   */
  measureDemand(team: string): { usage: number; waiting: number } {
    const { state } = this;
    const shortfall = state.shortfalls.get(team)?.tasks ?? 0;
    const waiting = state.queue.countForTeam(team) + shortfall;
    return { usage: state.getUsage(team), waiting };
  }

  /**
   * Lists those of `shards` that have no start or reservation in flight. On
   * such a shard, every hold belongs to a task that a listing has contained.
   * Returns the number of running tasks that this entry started on each of
   * these shards, by team.
   */
  listQuiesced(shards: Iterable<number>): Map<number, TaskCounts> {
    const quiesced = new Map<number, TaskCounts>();
    for (const shard of shards) {
      const holds = this.#listHolds(shard);
      const isPending = holds.some((hold) =>
        hold.reason === HoldReason.Reserved || !hold.listed
      );
      if (isPending) continue;
      const ownHolds = holds.filter((hold) =>
        hold.starter === this.state.incarnation
      );
      quiesced.set(shard, countByTeam(ownHolds));
    }
    return quiesced;
  }

  /**
   * Lists those of `shards` whose endpoints have all reported their running
   * tasks. Returns the number of adopted tasks on each of these shards, by the
   * incarnation that started them and by team.
   */
  listRecovered(
    shards: Iterable<number>,
  ): Map<number, Record<string, TaskCounts>> {
    const recovered = new Map<number, Record<string, TaskCounts>>();
    for (const shard of shards) {
      const endpoints = this.#listEndpoints(shard);
      if (!endpoints.every((endpoint) => endpoint.recovered)) continue;
      const adopted = this.#listHolds(shard).filter((hold) =>
        hold.reason === HoldReason.Adopted
      );
      const starters = new Set(adopted.map((hold) => hold.starter));
      const counts: Record<string, TaskCounts> = {};
      for (const starter of starters) {
        counts[starter] = countByTeam(
          adopted.filter((hold) => hold.starter === starter),
        );
      }
      recovered.set(shard, counts);
    }
    return recovered;
  }

  /** Lists the owned endpoints of a shard. */
  #listEndpoints(shard: number) {
    return this.state.endpointList.filter((endpoint) =>
      endpoint.ledger.spec.shard === shard
    );
  }

  /** Lists the holds on all endpoints of a shard. */
  #listHolds(shard: number) {
    return this.#listEndpoints(shard).flatMap((endpoint) => [
      ...endpoint.ledger.list(),
    ]);
  }
}

function countByTeam(holds: { team: string }[]): TaskCounts {
  const counts: TaskCounts = {};
  for (const { team } of holds) counts[team] = (counts[team] ?? 0) + 1;
  return counts;
}
