import {
  type EndpointListing,
  type ListedEnd,
  PaceResult,
  StartResult,
  StopResult,
} from "../../packages/cell/mod.ts";
import { type Demand, EndKind } from "../../packages/jobs/mod.ts";

/** One run on a fake endpoint. */
export interface FakeRun {
  task: string;
  run: number;
  endpoint: string;
  endsAt: number;
  how: EndKind;
  demand: Demand;
  /** Share of its work that it may do, in percent. */
  pace: number;
}

/** An endpoint in memory: fences, lifetimes, leases, lists of ends. */
export class FakeEndpoint {
  readonly id: string;
  readonly capacity: Demand;
  bornAt: number;
  fence = 0;
  leaseEndsAt = 0;
  runs = new Map<string, FakeRun>();
  ends: ListedEnd[] = [];
  /** Highest run of each task that was stopped or has ended here. */
  over = new Map<string, number>();
  isCut = false;
  /** Its tasks show no progress. */
  isStalled = false;
  /** Percent of a run; by default it grows. */
  percentOf: (run: FakeRun) => number = () => Math.round(this.#now / 10) % 100;
  /** Figure of a run's last half second. */
  gaugeOf: (run: FakeRun) => number = () => 0;
  /** Checkpoint that its tasks leave at their end. */
  saved = "";
  /** Called with each end, when it happens. */
  onEnd: (run: FakeRun, how: EndKind) => void = () => {};
  /**
   * Called for each end that nobody has taken note of, at a restart and when
   * the lease ends: from then on the task may be started elsewhere.
   */
  onForget: (task: string) => void = () => {};
  #lastNumber = 0;
  #now = 0;

  constructor(options: { id: string; bornAt: number; capacity: Demand }) {
    this.id = options.id;
    this.bornAt = options.bornAt;
    this.capacity = options.capacity;
  }

  /** Its clock began anew with its life. */
  clock(now: number): number {
    return Math.round(now - this.bornAt);
  }

  start(
    order: { run: FakeRun; fence: number; leaseUntil: number },
    now: number,
  ): StartResult {
    this.advance(now);
    const { run } = order;
    if (order.fence < this.fence) return StartResult.Deposed;
    this.fence = order.fence;
    if (order.leaseUntil <= this.clock(now)) return StartResult.LateOrder;
    if (run.run <= (this.over.get(run.task) ?? 0)) return StartResult.OldRun;
    const present = this.runs.get(run.task);
    if (present && present.run >= run.run) return StartResult.Started;
    this.#prolong(order.leaseUntil, now);
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
    const highest = Math.max(order.run, this.over.get(order.task) ?? 0);
    this.over.set(order.task, highest);
    const run = this.runs.get(order.task);
    if (run && run.run <= order.run) this.#end(run, EndKind.Stopped);
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

  hold(
    order: { fence: number; acknowledgedEnd: number; leaseUntil?: number },
    now: number,
  ): EndpointListing | undefined {
    this.advance(now);
    if (order.fence < this.fence) return undefined;
    this.fence = order.fence;
    if (order.leaseUntil) this.#prolong(order.leaseUntil, now);
    this.ends = this.ends.filter(({ number }) =>
      number > order.acknowledgedEnd
    );
    return {
      bornAt: this.bornAt,
      clockMs: this.clock(now),
      running: [...this.runs.values()].map((run) => ({
        task: run.task,
        run: run.run,
        saved: "",
        percent: this.isStalled ? 1 : this.percentOf(run),
        gauge: this.gaugeOf(run),
      })),
      ended: [...this.ends],
    };
  }

  /** Ends what is due or has no lease any more. */
  advance(now: number): void {
    this.#now = now;
    if (this.leaseEndsAt > 0 && this.bornAt + this.leaseEndsAt <= now) {
      for (const { task } of this.ends) this.onForget(task);
    }
    for (const run of [...this.runs.values()]) {
      const lapsesAt = this.bornAt + this.leaseEndsAt;
      if (lapsesAt <= Math.min(now, run.endsAt)) {
        this.#end(run, EndKind.LeaseExpired);
      } else if (run.endsAt <= now) this.#end(run, run.how);
    }
  }

  /** Starts anew under the same id: nothing of before is known. */
  restart(now: number): void {
    this.advance(now);
    this.runs.clear();
    for (const { task } of this.ends) this.onForget(task);
    this.ends = [];
    this.over.clear();
    this.bornAt = now;
    this.fence = 0;
    this.leaseEndsAt = 0;
    this.#lastNumber = 0;
  }

  #prolong(until: number, now: number): void {
    const most = this.clock(now) + 6_000;
    this.leaseEndsAt = Math.max(this.leaseEndsAt, Math.min(until, most));
  }

  #end(run: FakeRun, how: EndKind): void {
    this.runs.delete(run.task);
    this.over.set(run.task, run.run);
    this.ends.push({
      number: ++this.#lastNumber,
      task: run.task,
      run: run.run,
      end: how,
      saved: this.saved,
    });
    this.onEnd(run, how);
  }
}
