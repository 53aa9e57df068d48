import { match } from "ts-pattern";
import type { Clock } from "../base/mod.ts";
import {
  type Cell,
  noteLeaseSent,
  type Order,
  OrderKind,
  PaceResult,
  type Run,
  type Stage,
  type StartOrder,
  StartResult,
  StopResult,
} from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { AdvicePool } from "./advice_pool.ts";
import { ORDER_TIMEOUT_MS, SILENCE_MS, SILENT_PAUSE_MS } from "./constants.ts";
import type { EndpointControl, EndpointTarget } from "./ports.ts";

type PaceDetails = Extract<Order, { kind: OrderKind.Pace }>;
type AdviceDetails = Extract<Order, { kind: OrderKind.AskAdvice }>;

/** What a sender works with. */
export interface SenderParts {
  cell: Cell;
  control: EndpointControl;
  pool: AdvicePool;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  fence: number;
  leaseMs: number;
  /** Asked right before each order is sent. */
  mayOrder: (now: number) => boolean;
  onDeposed: (reason: string) => void;
  onAnswered: () => void;
}

/** Carries out the cell's orders and brings back the answers. */
export class OrderSender {
  readonly #parts: SenderParts;

  constructor(parts: SenderParts) {
    this.#parts = parts;
  }

  /** Sends one order; its answer goes to the cell. */
  send(order: Order): void {
    match(order)
      .with({ kind: OrderKind.Start }, (start) => void this.#start(start))
      .with({ kind: OrderKind.Stop }, ({ run }) => void this.#stop(run))
      .with({ kind: OrderKind.Pace }, (pace) => void this.#setPace(pace))
      .with({ kind: OrderKind.AskAdvice }, (ask) => void this.#ask(ask))
      .exhaustive();
  }

  async #start(order: StartOrder): Promise<void> {
    const { cell, control, clock, fence, leaseMs, log } = this.#parts;
    const { run } = order;
    const { endpoint } = run;
    const now = clock.now();
    let result = StartResult.Unavailable;
    let detail = "this owner may not order now";
    if (this.#parts.mayOrder(now)) {
      noteLeaseSent(endpoint, { now, leaseMs });
      ({ result, detail } = await control.start(makeTarget(run), {
        task: run.task,
        run: run.number,
        payload: order.payload,
        leaseUntil: Math.floor(now + endpoint.clockOffset) + leaseMs,
        fence,
        saved: order.saved,
        ticket: order.ticket,
      }, { timeoutMs: ORDER_TIMEOUT_MS }));
    }
    const answeredAt = clock.now();
    const elapsed = answeredAt - now;
    this.#parts.metrics.observeDuration("task_start", elapsed, { result });
    if (result === StartResult.Unknown && elapsed > SILENCE_MS) {
      endpoint.silentUntil = answeredAt + SILENT_PAUSE_MS;
    }
    if (result !== StartResult.Started) {
      log.record(EventCode.StartRefused, {
        subject: run.task,
        run: run.number,
        endpoint: endpoint.info.id,
        reason: result,
        detail,
        elapsedMs: Math.round(elapsed),
      });
    }
    if (result === StartResult.Deposed) {
      const { id } = endpoint.info;
      return this.#parts.onDeposed(`${id} serves a newer owner`);
    }
    cell.applyStartAnswer(run, {
      result,
      present: { now: answeredAt, wallNow: Date.now() },
    });
    this.#parts.onAnswered();
  }

  async #stop(run: Run): Promise<void> {
    const { control, clock, fence, log } = this.#parts;
    const mayOrder = this.#parts.mayOrder(clock.now());
    const { result, detail } = mayOrder
      ? await control.stop(makeTarget(run), {
        task: run.task,
        run: run.number,
        fence,
      }, { timeoutMs: ORDER_TIMEOUT_MS })
      : { result: StopResult.Unknown, detail: "this owner may not order now" };
    if (result !== StopResult.Acknowledged) {
      log.record(EventCode.StopUnanswered, {
        subject: run.task,
        run: run.number,
        endpoint: run.endpoint.info.id,
        reason: result,
        detail,
      });
    }
    if (result === StopResult.Deposed) {
      const { id } = run.endpoint.info;
      return this.#parts.onDeposed(`${id} serves a newer owner`);
    }
    this.#parts.cell.applyStopAnswer(run, { result, now: clock.now() });
    this.#parts.onAnswered();
  }

  async #setPace({ run, percent }: PaceDetails): Promise<void> {
    const { cell, control, clock, fence, log } = this.#parts;
    const { result, detail } = this.#parts.mayOrder(clock.now())
      ? await control.setPace(makeTarget(run), {
        task: run.task,
        run: run.number,
        percent,
        fence,
      }, { timeoutMs: ORDER_TIMEOUT_MS })
      : { result: PaceResult.Unknown, detail: "this owner may not order now" };
    if (result !== PaceResult.Acknowledged) {
      log.record(EventCode.PaceUnanswered, {
        subject: run.task,
        run: run.number,
        endpoint: run.endpoint.info.id,
        percent,
        reason: result,
        detail,
      });
    }
    if (result === PaceResult.Deposed) {
      const { id } = run.endpoint.info;
      return this.#parts.onDeposed(`${id} serves a newer owner`);
    }
    cell.applyPaceAnswer(run, { result, percent });
  }

  async #ask(order: AdviceDetails): Promise<void> {
    const { cell, clock, log, pool } = this.#parts;
    const { stage, endpoints } = order;
    const askedAt = clock.now();
    try {
      const answer = await pool.ask(order);
      const now = clock.now();
      // The margin at the end of a ticket's life covers the answer's way.
      cell.applyAdvice(stage, { endpoints, answer, now });
      log.record(EventCode.AdviceAnswered, {
        subject: stage.name,
        named: endpoints.length,
        allowed: answer.tickets.length,
        elapsedMs: Math.round(now - askedAt),
      });
    } catch (error) {
      this.#noteFailure(stage, order, error);
    }
    this.#parts.onAnswered();
  }

  #noteFailure(stage: Stage, order: AdviceDetails, error: unknown): void {
    const { cell, clock, log } = this.#parts;
    cell.applyAdvice(stage, {
      endpoints: order.endpoints,
      answer: undefined,
      now: clock.now(),
    });
    log.record(EventCode.AdviceFailed, {
      subject: stage.name,
      reason: String(error),
    });
  }
}

function makeTarget(run: Run): EndpointTarget {
  const { info, bornAt } = run.endpoint;
  return { id: info.id, address: info.address, bornAt };
}
