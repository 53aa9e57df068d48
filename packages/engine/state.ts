import { assertInvariant, type Random, type Size } from "../base/mod.ts";
import type { TaskCounts } from "../membership/mod.ts";
import { FairQueue, ServiceTimes } from "../queueing/mod.ts";
import { EndpointState } from "./endpoint_state.ts";
import { EndpointsWithFreeSlots } from "./endpoints_with_free_slots.ts";
import type { PlacementPolicy } from "./placement.ts";
import type {
  AttemptRecord,
  Decision,
  ReservationRequest,
  WaitingAttempt,
} from "./types.ts";

/** Resources reserved for a gang on one or more endpoints. */
export interface GangReservation {
  request: ReservationRequest;
  /** Ids and endpoints of the holds that no attempt has used yet. */
  unusedHolds: { id: string; endpoint: string }[];
}

/** The state of one owner. Only the actions of this package change it. */
export class EngineState {
  readonly incarnation: string;
  readonly random: Random;
  readonly placement: PlacementPolicy;
  readonly endpoints = new Map<string, EndpointState>();
  readonly endpointsWithFreeSlots = new EndpointsWithFreeSlots();
  readonly queue = new FairQueue<WaitingAttempt>();
  readonly serviceTimes = new ServiceTimes();
  readonly attempts = new Map<string, AttemptRecord>();
  readonly gangReservations = new Map<string, GangReservation>();
  readonly #usage = new Map<string, TeamUsage>();
  readonly #charges = new Map<string, Charge>();
  /** This entry's running tasks on shards it has handed over, by team. */
  handedOverTasks: TaskCounts = {};
  /** Total resources of the owned endpoints. */
  capacity = { slots: 0, cores: 0, memoryMb: 0, accelerators: 0 };
  /**
   * Tasks that a recent gang reservation lacked grants for, by team. These
   * tasks count as demand, although they are not in the queue.
   */
  readonly shortfalls = new Map<string, { tasks: number; until: number }>();
  /** Tasks that this entry may run, by team. */
  grants: Readonly<Record<string, number>> = {};
  /** Relative shares of the teams, by which the queue is ordered. */
  shares: Readonly<Record<string, number>> = {};
  /** Owned endpoints as a list, rebuilt when the set changes. */
  endpointList: EndpointState[] = [];
  draining = false;
  /** Sequence number of the next attempt that enters the queue. */
  sequence = 0;
  /** When expired records are removed next. */
  nextSweepAt = 0;
  /** Number of attempts started so far. */
  starts = 0;

  constructor(
    options: {
      incarnation: string;
      random: Random;
      placement: PlacementPolicy;
    },
  ) {
    this.incarnation = options.incarnation;
    this.random = options.random;
    this.placement = options.placement;
  }

  /**
   * Returns the number of a team's tasks that run or are reserved under this
   * entry's grant, including those on shards it has handed over.
   */
  getUsage(team: string): number {
    const tasks = this.#usage.get(team)?.tasks ?? 0;
    return tasks + (this.handedOverTasks[team] ?? 0);
  }

  /** Returns whether this entry's grant lets a team start one more task. */
  hasGrant(team: string): boolean {
    return this.getUsage(team) < (this.grants[team] ?? 0);
  }

  /**
   * Charges a task to its team's grant.
   *
   * @throws {InvariantError} when the grant is used up or the task is charged
   * already
   */
  chargeTask(id: string, options: { team: string; size: Size }): void {
    const { team, size } = options;
    assertInvariant(
      this.hasGrant(team),
      `Team ${team} would exceed its grant of ${this.grants[team]} tasks`,
    );
    assertInvariant(!this.#charges.has(id), `Task ${id} is charged already`);
    const load = this.#computeLoad(size);
    this.#charges.set(id, { team, load });
    const usage = this.#usage.get(team) ?? { tasks: 0, load: 0 };
    usage.tasks += 1;
    usage.load += load;
    this.#usage.set(team, usage);
  }

  /** Discharges a task from its team's grant. Idempotent. */
  dischargeTask(id: string): void {
    const charge = this.#charges.get(id);
    if (!charge) return;
    this.#charges.delete(id);
    const usage = this.#usage.get(charge.team)!;
    usage.tasks -= 1;
    usage.load -= charge.load;
    if (usage.tasks === 0) this.#usage.delete(charge.team);
  }

  /** Returns the load of a team's charged tasks, divided by its share. */
  computeLoadPerShare(team: string): number {
    return (this.#usage.get(team)?.load ?? 0) / (this.shares[team] ?? 1);
  }

  /** Lists the usage of the teams that have tasks charged to their grants. */
  listUsage(): TaskCounts {
    const counts: TaskCounts = {};
    for (const team of this.#usage.keys()) counts[team] = this.getUsage(team);
    return counts;
  }

  /** Lists the teams with usage, waiting attempts or a gang's shortfall. */
  listTeams(): Set<string> {
    return new Set([
      ...this.#usage.keys(),
      ...this.queue.listTeams(),
      ...this.shortfalls.keys(),
      ...Object.keys(this.handedOverTasks),
    ]);
  }

  /**
   * Returns the load of one task: its largest fraction of any one resource of
   * the owned endpoints, slots included.
   */
  #computeLoad(size: Size): number {
    const { slots, cores, memoryMb, accelerators } = this.capacity;
    return Math.max(
      1 / Math.max(1, slots),
      size.cores / Math.max(1, cores),
      size.memoryMb / Math.max(1, memoryMb),
      accelerators === 0 ? 0 : size.accelerators / accelerators,
    );
  }
}

/** Number and total load of the tasks charged to a team's grant. */
interface TeamUsage {
  tasks: number;
  load: number;
}

/** Team that a task is charged to, and the load of the task. */
interface Charge {
  team: string;
  load: number;
}

/** State and current time for an action, and the list of its decisions. */
export interface ActionContext {
  state: EngineState;
  /** Milliseconds since the Unix epoch. */
  now: number;
  /** Decisions so far; an action appends its own. */
  decisions: Decision[];
}
