import { match } from "ts-pattern";
import type { Clock } from "../base/mod.ts";
import {
  type Cell,
  chooseStartLease,
  getFence,
  isSuperseded,
  noteFenceUnanswered,
  noteStartSent,
  type Order,
  OrderKind,
  type OwnerFence,
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
import {
  ORDER_TIMEOUT_MS,
  UNRESPONSIVE_AFTER_MS,
  UNRESPONSIVE_PAUSE_MS,
} from "./constants.ts";
import { LoadKind, type OwnerLoad } from "./owner_load.ts";
import type { EndpointControl, EndpointTarget } from "./ports.ts";

type PaceOrder = Extract<Order, { kind: OrderKind.Pace }>;
type AdviceOrder = Extract<Order, { kind: OrderKind.AskAdvice }>;

/** The dependencies and settings of an `OrderSender`. */
export interface OrderSenderParts {
  cell: Cell;
  control: EndpointControl;
  advicePool: AdvicePool;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Fencing tokens of this owner. */
  fence: OwnerFence;
  /** Duration of the lease that a start gives, in milliseconds. */
  leaseMs: number;
  load: OwnerLoad;
  /** Returns whether this owner may send orders; checked before each order. */
  mayOrder: (now: number) => boolean;
  /** Called when an endpoint already serves a newer owner. */
  onDeposed: (reason: string) => void;
  /** Called after the cell has applied an answer. */
  onAnswered: () => void;
}

/** Sends the cell's orders and applies the answers to the cell. */
export class OrderSender {
  readonly #parts: OrderSenderParts;

  constructor(parts: OrderSenderParts) {
    this.#parts = parts;
  }

  /** Sends one order without waiting for its answer. */
  send(order: Order): void {
    match(order)
      .with({ kind: OrderKind.Start }, (start) => void this.start(start))
      .with(
        { kind: OrderKind.RepeatStart },
        ({ start }) => void this.start(start),
      )
      .with({ kind: OrderKind.Stop }, ({ run }) => void this.#stop(run))
      .with({ kind: OrderKind.Pace }, (pace) => void this.#setPace(pace))
      .with(
        { kind: OrderKind.AskAdvice },
        (advice) => void this.#askAdvice(advice),
      )
      .exhaustive();
  }

  /** Sends a start order; resolves once its answer has been applied. */
  async start(order: StartOrder): Promise<void> {
    const { cell, control, clock, log } = this.#parts;
    const { run } = order;
    const { endpoint } = run;
    const now = clock.now();
    const leaseMs = chooseStartLease(endpoint, {
      now,
      leaseMs: this.#parts.leaseMs,
      hasTicket: run.hasTicket,
    });
    const fence = getFence(endpoint, this.#parts.fence);
    let result = StartResult.Unavailable;
    let detail = "order not sent: owner stopped or lease not confirmed";
    if (this.#parts.mayOrder(now)) {
      noteStartSent(run, {
        now,
        leaseMs,
        ticketEndsAt: order.ticketEndsAt,
        fence,
      });
      ({ result, detail } = await control.start(
        makeEndpointTarget(run),
        {
          task: run.task,
          run: run.number,
          payload: order.payload,
          leaseUntil: Math.floor(now + endpoint.clockOffset) + leaseMs,
          fence,
          checkpoint: order.checkpoint,
          ticket: order.ticket,
        },
        { timeoutMs: ORDER_TIMEOUT_MS },
      ));
    }
    if (result === StartResult.Unknown) noteFenceUnanswered(endpoint, fence);
    if (result === StartResult.Deposed && isSuperseded(endpoint, fence)) {
      result = StartResult.Superseded;
    }
    const answeredAt = clock.now();
    const durationMs = answeredAt - now;
    this.#parts.metrics.observeDuration("task_start", durationMs, { result });
    this.#parts.load.note(
      result === StartResult.Unknown
        ? LoadKind.StartUnanswered
        : LoadKind.StartAnswered,
      durationMs,
    );
    if (result === StartResult.Unknown && durationMs > UNRESPONSIVE_AFTER_MS) {
      endpoint.unresponsiveUntil = answeredAt + UNRESPONSIVE_PAUSE_MS;
    }
    if (result !== StartResult.Started) {
      log.record(EventCode.StartRefused, {
        subject: run.task,
        run: run.number,
        endpoint: endpoint.info.id,
        bornAt: endpoint.bornAt,
        reason: result,
        detail,
        elapsedMs: Math.round(durationMs),
      });
    }
    if (result === StartResult.Deposed) {
      const { id } = endpoint.info;
      return this.#parts.onDeposed(`${id} serves a newer owner`);
    }
    cell.applyStartAnswer(run, {
      result,
      time: { now: answeredAt, wallNow: clock.readWallTime() },
    });
    this.#parts.onAnswered();
  }

  async #stop(run: Run): Promise<void> {
    const { control, clock, log } = this.#parts;
    const mayOrder = this.#parts.mayOrder(clock.now());
    const target = makeEndpointTarget(run);
    const fence = getFence(run.endpoint, this.#parts.fence);
    const { result, detail } = mayOrder
      ? await control.stop(target, {
        task: run.task,
        run: run.number,
        fence,
      }, { timeoutMs: ORDER_TIMEOUT_MS })
      : {
        result: StopResult.Unknown,
        detail: "order not sent: owner stopped or lease not confirmed",
      };
    if (result !== StopResult.Acknowledged) {
      log.record(EventCode.StopUnanswered, {
        subject: run.task,
        run: run.number,
        endpoint: run.endpoint.info.id,
        reason: result,
        detail,
      });
    }
    if (result === StopResult.Deposed && !isSuperseded(run.endpoint, fence)) {
      const { id } = run.endpoint.info;
      return this.#parts.onDeposed(`${id} serves a newer owner`);
    }
    this.#parts.cell.applyStopAnswer(run, {
      result,
      bornAt: target.bornAt,
      now: clock.now(),
    });
    this.#parts.onAnswered();
  }

  async #setPace({ run, percent }: PaceOrder): Promise<void> {
    const { cell, control, clock, log } = this.#parts;
    const fence = getFence(run.endpoint, this.#parts.fence);
    const { result, detail } = this.#parts.mayOrder(clock.now())
      ? await control.setPace(makeEndpointTarget(run), {
        task: run.task,
        run: run.number,
        percent,
        fence,
      }, { timeoutMs: ORDER_TIMEOUT_MS })
      : {
        result: PaceResult.Unknown,
        detail: "order not sent: owner stopped or lease not confirmed",
      };
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
    if (result === PaceResult.Deposed && !isSuperseded(run.endpoint, fence)) {
      const { id } = run.endpoint.info;
      return this.#parts.onDeposed(`${id} serves a newer owner`);
    }
    cell.applyPaceAnswer(run, { result, percent });
  }

  async #askAdvice(order: AdviceOrder): Promise<void> {
    const { cell, clock, log, advicePool } = this.#parts;
    const { stage, endpoints } = order;
    const sentAt = clock.now();
    try {
      const answer = await advicePool.ask(order);
      const now = clock.now();
      // The lifetime of a ticket counts from the arrival of the answer; the
      // margin at its end covers the network delay of the answer.
      cell.applyAdvice(stage, { endpoints, answer, now });
      log.record(EventCode.AdviceAnswered, {
        subject: stage.name,
        named: endpoints.length,
        allowed: answer.tickets.length,
        elapsedMs: Math.round(now - sentAt),
      });
    } catch (error) {
      this.#recordAdviceFailure(stage, order, error);
    }
    this.#parts.onAnswered();
  }

  #recordAdviceFailure(stage: Stage, order: AdviceOrder, error: unknown): void {
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

function makeEndpointTarget(run: Run): EndpointTarget {
  const { info, bornAt } = run.endpoint;
  return { id: info.id, address: info.address, bornAt };
}
