import { match } from "ts-pattern";
import {
  Cause,
  type Clock,
  makeMayHaveRunOutcome,
  type Outcome,
} from "../base/mod.ts";
import type { EndpointClient } from "../endpoints/mod.ts";
import {
  type Attempt,
  type Decision,
  DecisionType,
  EndpointStatus,
  type Engine,
  type EngineEvent,
  EngineEventType,
  type ReservationRequest,
} from "../engine/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

type Waiter = (outcome: Outcome) => void;

/**
 * Passes events to the engine and carries out its decisions. No other code
 * starts or stops tasks on endpoints.
 */
export class EngineDriver {
  readonly engine: Engine;
  readonly #endpoints: EndpointClient;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #metrics: Metrics;
  readonly #taskLeaseMs: number;
  readonly #waiters = new Map<string, Waiter[]>();
  #reservedTasks = 0;

  constructor(
    options: {
      engine: Engine;
      endpoints: EndpointClient;
      clock: Clock;
      log: EventLog;
      metrics: Metrics;
      taskLeaseMs: number;
    },
  ) {
    this.engine = options.engine;
    this.#endpoints = options.endpoints;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#taskLeaseMs = options.taskLeaseMs;
  }

  /** Runs an attempt and resolves with its outcome. */
  runAttempt(attempt: Attempt): Promise<Outcome> {
    return new Promise((resolve) => {
      const waiters = this.#waiters.get(attempt.id) ?? [];
      waiters.push(resolve);
      this.#waiters.set(attempt.id, waiters);
      this.handle({ type: EngineEventType.Submit, attempt });
    });
  }

  /**
   * Settles an attempt: if it has not started, or has not arrived here yet, it
   * will never run. Returns its outcome, or null while it is running. `expires`
   * is its deadline in milliseconds since the Unix epoch.
   */
  settleAttempt(attempt: string, expires: number): Outcome | null {
    this.handle({ type: EngineEventType.Settle, attempt, expires });
    return this.engine.findOutcome(attempt) ?? null;
  }

  /** Reserves slots for tasks of a gang and returns how many it reserved. */
  reserve(request: ReservationRequest): number {
    this.#reservedTasks = 0;
    this.handle({ type: EngineEventType.Reserve, request });
    return this.#reservedTasks;
  }

  /** Passes an event to the engine and carries out its decisions. */
  handle(event: EngineEvent): void {
    try {
      const decisions = this.engine.handle(event, this.#clock.now());
      for (const decision of decisions) this.#applyDecision(decision);
    } catch (error) {
      this.#metrics.countEvent("invariant_failures");
      this.#log.record(EventCode.InvariantBroken, {
        event: event.type,
        error: String(error),
      });
      if (event.type !== EngineEventType.Submit) return;
      const outcome = makeMayHaveRunOutcome(Cause.EntryLost, "internal error");
      this.#resolve(event.attempt.id, outcome);
    }
  }

  #applyDecision(decision: Decision): void {
    match(decision)
      .with({ type: DecisionType.Start }, (start) => {
        void this.#startTask(start);
      })
      .with({ type: DecisionType.Stop }, ({ endpoint, task }) => {
        this.#endpoints.stop(endpoint, task).catch(() => {});
      })
      .with({ type: DecisionType.Finish }, ({ attempt, outcome }) => {
        this.#resolve(attempt, outcome);
      })
      .with({ type: DecisionType.Reserved }, ({ tasks }) => {
        this.#reservedTasks = tasks;
      })
      .with({ type: DecisionType.EndpointStatus }, ({ endpoint, status }) => {
        this.#log.record(STATUS_EVENTS[status], { endpoint, status });
      })
      .exhaustive();
  }

  async #startTask(
    start: Extract<Decision, { type: DecisionType.Start }>,
  ): Promise<void> {
    const { attempt, endpoint, labels, waitedMs } = start;
    const waitLabels = { team: attempt.team, queue: attempt.queue };
    this.#metrics.observeDuration("wait", waitedMs, waitLabels);
    this.#metrics.countEvent("starts", { team: attempt.team });
    const result = await this.#endpoints.start(endpoint, {
      id: attempt.id,
      labels,
      kind: attempt.kind,
      size: attempt.size,
      leaseMs: this.#taskLeaseMs,
      timeoutMs: attempt.deadline - this.#clock.now(),
      payload: attempt.payload,
    });
    this.handle({
      type: EngineEventType.TaskEnded,
      attempt: attempt.id,
      result,
    });
  }

  #resolve(attempt: string, outcome: Outcome): void {
    const waiters = this.#waiters.get(attempt) ?? [];
    this.#waiters.delete(attempt);
    for (const resolve of waiters) resolve(outcome);
  }
}

const STATUS_EVENTS: Record<EndpointStatus, EventCode> = {
  [EndpointStatus.Recovering]: EventCode.EndpointUnreachable,
  [EndpointStatus.Serving]: EventCode.EndpointServing,
  [EndpointStatus.Quiescing]: EventCode.EndpointLeaving,
  [EndpointStatus.Leaving]: EventCode.EndpointLeaving,
  [EndpointStatus.Unreachable]: EventCode.EndpointUnreachable,
  [EndpointStatus.Ejected]: EventCode.EndpointEjected,
  [EndpointStatus.Gone]: EventCode.EndpointGone,
};
