import type { Clock } from "../base/mod.ts";
import {
  type Cell,
  type CellOutput,
  OrderKind,
  type Present,
} from "../cell/mod.ts";
import type { EventLog } from "../events/mod.ts";
import type { Journal } from "../journal/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { AdvicePool } from "./advice_pool.ts";
import { FLUSH_MS, STORE_DELAY_MS, TICK_MS } from "./constants.ts";
import { recordDecisions } from "./decision_log.ts";
import type { OrderSender } from "./order_sender.ts";
import type { SessionPool } from "./session_pool.ts";

/** What plans are made and carried out with. */
export interface PlanParts {
  cell: Cell;
  advice: AdvicePool;
  sender: OrderSender;
  sessions: SessionPool;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  mayOrder: (now: number) => boolean;
}

/** Makes the cell's plans, stores what they decide, then carries it out. */
export class PlanLoop {
  readonly #parts: PlanParts;
  #journal: Journal | undefined;
  #isStopped = false;
  #isScheduled = false;
  #lastPlanAt = 0;
  #planMs = 0;

  constructor(parts: PlanParts) {
    this.#parts = parts;
  }

  /** Plans may be made from now on: the cell is restored. */
  start(journal: Journal): void {
    this.#journal = journal;
  }

  /** Carries nothing out any more. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Plans soon; several requests are met by one plan. */
  schedulePlan(): void {
    if (this.#isScheduled || this.#isStopped || !this.#journal) return;
    this.#isScheduled = true;
    // A plan that takes long is made less often: half of the time is left.
    const pause = Math.max(FLUSH_MS, this.#planMs);
    this.#parts.clock.schedule(() => {
      this.#isScheduled = false;
      if (!this.#isStopped) this.planNow();
    }, pause);
  }

  /** Plans if nothing else has led to a plan for a while. */
  planIfIdle(): void {
    const idleMs = this.#parts.clock.now() - this.#lastPlanAt;
    if (idleMs >= TICK_MS) this.planNow();
  }

  /** Plans at once. */
  planNow(): void {
    const { advice, cell, clock, metrics, mayOrder, sessions } = this.#parts;
    const startedAt = clock.now();
    if (mayOrder(startedAt)) {
      // Room is not taken for starts that would wait for the store.
      const mayStart = !this.isStoreSilent(startedAt);
      cell.setAdviceLanes(advice.listLanes());
      cell.plan(this.#getPresent(), { mayStart });
    }
    this.#lastPlanAt = clock.now();
    this.#planMs = this.#lastPlanAt - startedAt;
    metrics.observeDuration("plan", this.#planMs, {});
    this.#sendOutput();
    sessions.update(cell.state.endpoints);
  }

  /**
   * Stores what was decided so far. Resolves with false when the ownership
   * ended before that.
   */
  commitNow(): Promise<boolean> {
    const { clock } = this.#parts;
    return new Promise((resolve) => {
      this.#sendOutput(() => resolve(true));
      this.schedulePlan();
      const check = () => {
        if (this.#isStopped) resolve(false);
        else clock.schedule(check, TICK_MS * 5);
      };
      clock.schedule(check, TICK_MS * 5);
    });
  }

  /** Tells whether a commit has waited too long for its answer. */
  isStoreSilent(now: number): boolean {
    return (this.#journal?.measureDelay(now) ?? 0) > STORE_DELAY_MS;
  }

  #getPresent(): Present {
    return { now: this.#parts.clock.now(), wallNow: Date.now() };
  }

  /** Carries out what was decided so far. */
  #sendOutput(onCommitted?: () => void): void {
    const { cell, log, sender } = this.#parts;
    const output = cell.collectOutput();
    recordDecisions(log, output.decisions);
    this.#commit(output, onCommitted);
    for (const order of output.orders) {
      if (order.kind !== OrderKind.Start) sender.send(order);
    }
  }

  #commit(output: CellOutput, onCommitted?: () => void): void {
    const { cell, sender } = this.#parts;
    const isEmpty = output.records.length === 0 && output.marks.size === 0 &&
      output.finished.size === 0;
    if (isEmpty && !onCommitted) return;
    this.#journal?.add(output.records, () => {
      if (this.#isStopped) return;
      cell.noteCommitted(output, Date.now());
      for (const start of cell.listStarts(output, this.#getPresent())) {
        sender.send(start);
      }
      onCommitted?.();
      if (!isEmpty) this.schedulePlan();
    });
  }
}
