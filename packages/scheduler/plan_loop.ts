import type { Clock } from "../base/mod.ts";
import {
  type Cell,
  type CellOutput,
  type CurrentTime,
  type Order,
  OrderKind,
  type StartOrder,
} from "../cell/mod.ts";
import type { EventLog } from "../events/mod.ts";
import type { Journal } from "../journal/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { AdvicePool } from "./advice_pool.ts";
import {
  MAX_PLACEMENT_AGE_MS,
  MIN_PLAN_DELAY_MS,
  PLAN_INTERVAL_MS,
  PLAN_PAUSE_FACTOR,
  STORE_STALL_MS,
} from "./constants.ts";
import { countDecisions, recordDecisions } from "./decision_log.ts";
import type { OrderSender } from "./order_sender.ts";
import { LoadKind, type OwnerLoad } from "./owner_load.ts";
import type { StartPacer } from "./start_pacer.ts";
import type { SessionPool } from "./session_pool.ts";
import { measureElapsed } from "./suspension_guard.ts";

/** The dependencies of a `PlanLoop`. */
export interface PlanLoopParts {
  cell: Cell;
  advice: AdvicePool;
  orderSender: OrderSender;
  startPacer: StartPacer;
  sessions: SessionPool;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  load: OwnerLoad;
  /** Returns whether this owner may send orders now. */
  mayOrder: (now: number) => boolean;
  /** Returns whether the endpoints' records are recent enough to start tasks. */
  hasCurrentRecords: (time: CurrentTime) => boolean;
}

/**
 * Plans the cell, commits the resulting records to the journal, and sends the
 * orders. Starts are sent only after the commit; other orders at once.
 */
export class PlanLoop {
  readonly #parts: PlanLoopParts;
  #journal: Journal | undefined;
  #isStopped = false;
  #mayPlan = true;
  #isScheduled = false;
  #lastPlanAt = 0;
  #lastPlanMs = 0;
  /** Ends the wait of each `commitNow` when the loop stops. */
  readonly #pendingCommits = new Set<() => void>();

  constructor(parts: PlanLoopParts) {
    this.#parts = parts;
  }

  /** Enables planning, once the cell is restored from the journal. */
  start(journal: Journal): void {
    this.#journal = journal;
  }

  /**
   * Stops planning, sends no further starts, and ends the waits for commits,
   * whose effect is then unknown.
   */
  stop(): void {
    this.#isStopped = true;
    for (const drop of this.#pendingCommits) drop();
    this.#pendingCommits.clear();
  }

  /** Makes no further plans; commits and orders in progress go on. */
  stopPlanning(): void {
    this.#mayPlan = false;
  }

  /** Schedules a plan; further calls before it runs have no effect. */
  schedulePlan(): void {
    const mayPlan = this.#mayPlan && !this.#isStopped && this.#journal;
    if (this.#isScheduled || !mayPlan) return;
    this.#isScheduled = true;
    const delayMs = Math.max(
      MIN_PLAN_DELAY_MS,
      this.#lastPlanMs * PLAN_PAUSE_FACTOR,
    );
    this.#parts.clock.schedule(() => {
      this.#isScheduled = false;
      if (this.#mayPlan && !this.#isStopped) this.planNow();
    }, delayMs);
  }

  /** Plans if the last plan ended at least `PLAN_INTERVAL_MS` ago. */
  planIfIdle(): void {
    const idleMs = this.#parts.clock.now() - this.#lastPlanAt;
    if (idleMs >= PLAN_INTERVAL_MS) this.planNow();
  }

  /** Plans immediately and sends the result. */
  planNow(): void {
    const { advice, cell, clock, load, metrics, mayOrder, sessions } =
      this.#parts;
    const startedAt = clock.now();
    const hasCurrentRecords = this.#hasCurrentRecords();
    if (mayOrder(startedAt)) {
      // While the store stalls, placements could not be committed and would
      // only reserve capacity.
      const mayStart = hasCurrentRecords && !this.isStoreStalled(startedAt);
      cell.setAdviceBacklogs(advice.listBacklogs());
      cell.plan(this.#getCurrentTime(), { mayStart });
    }
    metrics.observeDuration("plan", clock.now() - startedAt, {});
    for (const [service, kept] of cell.state.placement.headroom) {
      metrics.setGauge("headroom_milli_cores", kept.milliCores, { service });
    }
    this.#sendOutput();
    sessions.update(cell.state.endpoints);
    this.#lastPlanAt = clock.now();
    this.#lastPlanMs = this.#lastPlanAt - startedAt;
    load.note(LoadKind.Plan, this.#lastPlanMs);
  }

  /**
   * Commits all decisions so far. Resolves to true once the store holds them,
   * or to false if the loop was stopped first.
   */
  commitNow(): Promise<boolean> {
    if (this.#isStopped) return Promise.resolve(false);
    return new Promise((resolve) => {
      const drop = () => resolve(false);
      this.#pendingCommits.add(drop);
      this.#sendOutput(() => {
        this.#pendingCommits.delete(drop);
        resolve(true);
      });
      this.schedulePlan();
    });
  }

  /** Returns whether a commit has been unanswered for over `STORE_STALL_MS`. */
  isStoreStalled(now: number): boolean {
    return (this.#journal?.measureCommitDelay(now) ?? 0) > STORE_STALL_MS;
  }

  #getCurrentTime(): CurrentTime {
    const { clock } = this.#parts;
    return { now: clock.now(), wallNow: clock.readWallTime() };
  }

  #hasCurrentRecords(): boolean {
    return this.#parts.hasCurrentRecords(this.#getCurrentTime());
  }

  /** Logs and commits the cell's decisions, and sends all orders but starts. */
  #sendOutput(onCommitted?: () => void): void {
    const { cell, log, metrics, orderSender } = this.#parts;
    const output = cell.collectOutput();
    recordDecisions(log, output.decisions);
    countDecisions(metrics, output.decisions);
    this.#commit(output, onCommitted);
    for (const order of output.orders) {
      if (order.kind !== OrderKind.Start) orderSender.send(order);
    }
  }

  /** Lists the start orders, planned at `plannedAt`, that may be sent now. */
  #listStarts(
    orders: readonly Order[],
    plannedAt: CurrentTime,
  ): StartOrder[] {
    if (this.#isStopped) return [];
    const time = this.#getCurrentTime();
    const isInTime = measureElapsed(plannedAt, time) <= MAX_PLACEMENT_AGE_MS;
    return this.#parts.cell.listStarts(orders, time, {
      mayStart: isInTime && this.#hasCurrentRecords(),
    });
  }

  #commit(output: CellOutput, onCommitted?: () => void): void {
    const { cell, clock, startPacer } = this.#parts;
    const isEmpty = output.records.length === 0 &&
      output.committedEnds.size === 0 &&
      output.finished.size === 0;
    if (isEmpty && !onCommitted) return;
    const plannedAt = this.#getCurrentTime();
    this.#journal?.add(output.records, () => {
      if (this.#isStopped) return;
      cell.noteCommitted(output, clock.readWallTime());
      for (const order of this.#listStarts(output.orders, plannedAt)) {
        const mayStart = () => this.#listStarts([order], plannedAt).length > 0;
        startPacer.add(order, mayStart);
      }
      onCommitted?.();
      if (!isEmpty) this.schedulePlan();
    });
  }
}
