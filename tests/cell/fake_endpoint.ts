import {
  type EndpointListing,
  type ListedEnd,
  ListingExtent,
  PaceResult,
  StartResult,
  StopResult,
} from "../../packages/cell/mod.ts";
import { type Demand, EndKind } from "../../packages/jobs/mod.ts";
import { CLOCK_AT_START_MS } from "../standins/endpoint_lifetime.ts";

/**
 * Time for which a room that has shrunk still counts, in milliseconds: the
 * platform's contact time of 3 s and one heartbeat of 1.5 s.
 */
export const FORMER_ROOM_MS = 4_500;

/** One run on a fake endpoint. */
export interface FakeRun {
  task: string;
  run: number;
  endpoint: string;
  /** When the run ends unless it is stopped or its lease expires before. */
  endsAt: number;
  /** How the run ends at that time. */
  endKind: EndKind;
  demand: Demand;
  /** Speed that the scheduler allows, in percent of full speed. */
  pace: number;
  /** When an ordered stop ends the run; undefined: no stop was ordered. */
  stopsAt?: number;
}

/** In-memory endpoint with fencing, lifetimes, leases and a list of ends. */
export class FakeEndpoint {
  readonly id: string;
  /** Where it is reached; another endpoint may have been there before. */
  readonly address: string;
  capacity: Demand;
  /** Start of the current lifetime, as the endpoint says. */
  bornAt: number;
  /** True start of the current lifetime. */
  #startedAt: number;
  /** Highest fencing token received in this lifetime. */
  fence = 0;
  /** End of the lease on the endpoint clock; 0: no lease. */
  leaseEndsAt = 0;
  runs = new Map<string, FakeRun>();
  unacknowledgedEnds: ListedEnd[] = [];
  /** Highest run number of each task that was stopped or has ended here. */
  highestEndedRuns = new Map<string, number>();
  /** Orders and polls do not reach the endpoint. */
  isUnreachable = false;
  /** Speed of its clock, as a fraction of the true one. */
  clockRate = 1;
  /** Returns how long a stop takes, in milliseconds. */
  getStopMs: () => number = () => 0;
  /** Its runs report no progress. */
  isStalled = false;
  /** Returns the progress of a run in percent; the default changes over time. */
  getPercent: (run: FakeRun) => number = () => Math.round(this.#now / 10) % 100;
  /** Returns the gauge that a run reports for the last half second. */
  getGauge: (run: FakeRun) => number = () => 0;
  /** Returns the newest checkpoint that a run lists. */
  getSaved: (run: FakeRun) => string = () => "";
  /** Checkpoint that every run has saved when it ends. */
  checkpoint = "";
  /** Largest number of ends that it lists at a time. */
  pageLength = 500;
  /** Called when a run ends. */
  onEnd: (run: FakeRun, endKind: EndKind) => void = () => {};
  /**
   * Called for each unacknowledged end when the endpoint restarts or its lease
   * expires: from then on the task may be started elsewhere.
   */
  onEndDiscarded: (task: string) => void = () => {};
  #lastEndNumber = 0;
  #now = 0;
  #formerRooms: { room: Demand; countsUntil: number }[] = [];

  constructor(
    options: { id: string; bornAt: number; capacity: Demand; address?: string },
  ) {
    this.id = options.id;
    this.address = options.address ?? options.id;
    this.bornAt = options.bornAt;
    this.#startedAt = options.bornAt;
    this.capacity = options.capacity;
  }

  /** Returns the endpoint clock, which starts anew with each lifetime. */
  readClock(now: number): number {
    return CLOCK_AT_START_MS +
      Math.round((now - this.#startedAt) * this.clockRate);
  }

  start(
    order: { run: FakeRun; fence: number; leaseUntil: number },
    now: number,
  ): StartResult {
    this.advance(now);
    const { run } = order;
    if (order.fence < this.fence) return StartResult.Deposed;
    this.fence = order.fence;
    if (order.leaseUntil <= this.readClock(now)) return StartResult.LateOrder;
    if (run.run <= (this.highestEndedRuns.get(run.task) ?? 0)) {
      // The lease is also taken from a start that is refused as old.
      this.#renewLease(order.leaseUntil, now);
      return StartResult.OldRun;
    }
    const currentRun = this.runs.get(run.task);
    if (currentRun && currentRun.run >= run.run) return StartResult.Started;
    this.#renewLease(order.leaseUntil, now);
    this.runs.set(run.task, run);
    return StartResult.Started;
  }

  stop(
    order: { task: string; run: number; fence: number },
    now: number,
  ): StopResult {
    this.advance(now);
    if (order.fence < this.fence) return StopResult.Deposed;
    this.fence = order.fence;
    const highestRun = Math.max(
      order.run,
      this.highestEndedRuns.get(order.task) ?? 0,
    );
    this.highestEndedRuns.set(order.task, highestRun);
    const run = this.runs.get(order.task);
    if (run && run.run <= order.run) {
      run.stopsAt ??= now + this.getStopMs();
      this.advance(now);
    }
    return StopResult.Acknowledged;
  }

  setPace(
    order: { task: string; run: number; percent: number; fence: number },
  ): PaceResult {
    if (order.fence < this.fence) return PaceResult.Deposed;
    const run = this.runs.get(order.task);
    if (run?.run !== order.run) return PaceResult.Refused;
    run.pace = order.percent;
    return PaceResult.Acknowledged;
  }

  /** Renews the lease, drops acknowledged ends and lists the runs and ends. */
  hold(
    order: { fence: number; acknowledgedEnd: number; leaseUntil?: number },
    now: number,
  ): EndpointListing | undefined {
    this.advance(now);
    if (order.fence < this.fence) return undefined;
    this.fence = order.fence;
    if (order.leaseUntil) this.#renewLease(order.leaseUntil, now);
    this.unacknowledgedEnds = this.unacknowledgedEnds.filter(({ number }) =>
      number > order.acknowledgedEnd
    );
    return {
      bornAt: this.bornAt,
      clockMs: this.readClock(now),
      running: [...this.runs.values()].map((run) => ({
        task: run.task,
        run: run.run,
        saved: this.getSaved(run),
        percent: this.isStalled ? 1 : this.getPercent(run),
        gauge: this.getGauge(run),
      })),
      ended: this.unacknowledgedEnds.slice(0, this.pageLength),
      extent: this.unacknowledgedEnds.length < this.pageLength
        ? ListingExtent.Whole
        : ListingExtent.CutOff,
    };
  }

  /** Ends the runs that are finished and those whose lease has expired. */
  advance(now: number): void {
    this.#now = now;
    const leaseExpiresAt = this.#startedAt +
      (this.leaseEndsAt - CLOCK_AT_START_MS) / this.clockRate;
    if (this.leaseEndsAt > 0 && leaseExpiresAt <= now) {
      for (const { task } of this.unacknowledgedEnds) this.onEndDiscarded(task);
    }
    for (const run of [...this.runs.values()]) {
      if (leaseExpiresAt <= Math.min(now, run.endsAt)) {
        this.#end(run, EndKind.LeaseExpired);
      } else if (run.stopsAt !== undefined && run.stopsAt <= now) {
        this.#end(run, EndKind.Stopped);
      } else if (run.endsAt <= now) this.#end(run, run.endKind);
    }
  }

  /** Sets the room; the former one counts for `FORMER_ROOM_MS`. */
  setRoom(room: Demand, now: number): void {
    const countsUntil = now + FORMER_ROOM_MS;
    this.#formerRooms.push({ room: this.capacity, countsUntil });
    this.capacity = room;
  }

  /** Returns the largest amounts that the runs may take by any room that counts. */
  computeCountedRoom(): Demand {
    this.#formerRooms = this.#formerRooms.filter(({ countsUntil }) =>
      this.#now <= countsUntil
    );
    const counted = { ...this.capacity };
    for (const { room } of this.#formerRooms) {
      counted.milliCores = Math.max(counted.milliCores, room.milliCores);
      counted.memoryMb = Math.max(counted.memoryMb, room.memoryMb);
      counted.accelerators = Math.max(counted.accelerators, room.accelerators);
    }
    return counted;
  }

  /** Ends a run now, as another run of its gang has ended. */
  breakRun(run: FakeRun, now: number): void {
    this.advance(now);
    if (this.runs.get(run.task) === run) this.#end(run, EndKind.GangBroken);
  }

  /**
   * Restarts with the same id and loses all state of the former lifetime. `bornAt`:
   * the start that it says; the time of day may have been stepped.
   */
  restart(now: number, bornAt = now): void {
    this.advance(now);
    this.runs.clear();
    for (const { task } of this.unacknowledgedEnds) this.onEndDiscarded(task);
    this.unacknowledgedEnds = [];
    this.highestEndedRuns.clear();
    this.bornAt = bornAt;
    this.#startedAt = now;
    this.fence = 0;
    this.leaseEndsAt = 0;
    this.#lastEndNumber = 0;
  }

  #renewLease(until: number, now: number): void {
    const latestEnd = this.readClock(now) + 6_000;
    this.leaseEndsAt = Math.max(this.leaseEndsAt, Math.min(until, latestEnd));
  }

  #end(run: FakeRun, endKind: EndKind): void {
    this.runs.delete(run.task);
    this.highestEndedRuns.set(run.task, run.run);
    this.unacknowledgedEnds.push({
      number: ++this.#lastEndNumber,
      task: run.task,
      run: run.run,
      end: endKind,
      saved: this.checkpoint,
    });
    this.onEnd(run, endKind);
  }
}
