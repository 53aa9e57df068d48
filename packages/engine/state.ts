import { assertInvariant, type Random, type Size } from "../base/mod.ts";
import type { TaskCounts } from "../membership/mod.ts";
import { FairQueue, ServiceTimes } from "../queueing/mod.ts";
import { EndpointState } from "./endpoint_state.ts";
import { OpenEndpoints } from "./open_endpoints.ts";
import type { PlacementPolicy } from "./placement.ts";
import type {
  AttemptRecord,
  Decision,
  HoldRequest,
  WaitingAttempt,
} from "./types.ts";

/** Room held for a gang on several endpoints. */
export interface GangHold {
  request: HoldRequest;
  /** Ids of the reserved holds and their endpoints, not yet used. */
  places: { id: string; endpoint: string }[];
}

/** Everything one owner knows; only the actions of this package change it. */
export class EngineState {
  readonly incarnation: string;
  readonly random: Random;
  readonly placement: PlacementPolicy;
  readonly endpoints = new Map<string, EndpointState>();
  readonly open = new OpenEndpoints();
  readonly queue = new FairQueue<WaitingAttempt>();
  readonly times = new ServiceTimes();
  readonly attempts = new Map<string, AttemptRecord>();
  readonly holds = new Map<string, GangHold>();
  readonly #usage = new Map<string, TeamUsage>();
  readonly #charges = new Map<string, Charge>();
  /** Own tasks on shards that were handed over, by team. */
  leftBehind: TaskCounts = {};
  /** Resources of all owned endpoints. */
  capacity = { slots: 0, cores: 0, memoryMb: 0, accelerators: 0 };
  /** Recent failed reservations: demand that is not in the queue. */
  readonly shortfalls = new Map<string, { tasks: number; until: number }>();
  grants: Readonly<Record<string, number>> = {};
  shares: Readonly<Record<string, number>> = {};
  /** Owned endpoints as a list, rebuilt when the set changes. */
  endpointList: EndpointState[] = [];
  draining = false;
  sequence = 0;
  /** When old outcomes are forgotten next. */
  nextSweep = 0;
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

  /** Tasks of a team that run or are reserved under this entry's grant. */
  getUsage(team: string): number {
    const tasks = this.#usage.get(team)?.tasks ?? 0;
    return tasks + (this.leftBehind[team] ?? 0);
  }

  /** Tells whether a team may start one more task here. */
  hasGrant(team: string): boolean {
    return this.getUsage(team) < (this.grants[team] ?? 0);
  }

  /**
   * Charges a task to its team's grant.
   *
   * @throws {InvariantError} when the grant does not allow it
   */
  chargeTask(id: string, options: { team: string; size: Size }): void {
    const { team, size } = options;
    assertInvariant(
      this.hasGrant(team),
      `Team ${team} would run more than its grant of ${this.grants[team]}`,
    );
    assertInvariant(!this.#charges.has(id), `Task ${id} is charged twice`);
    const load = this.#computeLoad(size);
    this.#charges.set(id, { team, load });
    const usage = this.#usage.get(team) ?? { tasks: 0, load: 0 };
    usage.tasks += 1;
    usage.load += load;
    this.#usage.set(team, usage);
  }

  /** Takes a task off its team's grant; does nothing the second time. */
  dischargeTask(id: string): void {
    const charge = this.#charges.get(id);
    if (!charge) return;
    this.#charges.delete(id);
    const usage = this.#usage.get(charge.team)!;
    usage.tasks -= 1;
    usage.load -= charge.load;
    if (usage.tasks === 0) this.#usage.delete(charge.team);
  }

  /** Returns a team's load for each unit of its share. */
  computeLoadPerShare(team: string): number {
    return (this.#usage.get(team)?.load ?? 0) / (this.shares[team] ?? 1);
  }

  /** Lists the tasks charged to each team. */
  listUsage(): TaskCounts {
    const counts: TaskCounts = {};
    for (const team of this.#usage.keys()) counts[team] = this.getUsage(team);
    return counts;
  }

  /** Teams that run, wait or failed to reserve here. */
  listTeams(): Set<string> {
    return new Set([
      ...this.#usage.keys(),
      ...this.queue.listTeams(),
      ...this.shortfalls.keys(),
      ...Object.keys(this.leftBehind),
    ]);
  }

  /** Returns the part of the scarcest resource that one task takes. */
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

interface TeamUsage {
  tasks: number;
  load: number;
}

interface Charge {
  team: string;
  load: number;
}

/** What an action gets: the state, the present time, and where to decide. */
export interface ActionContext {
  state: EngineState;
  /** Milliseconds since the Unix epoch. */
  now: number;
  decisions: Decision[];
}
