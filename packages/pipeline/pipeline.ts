import {
  Cause,
  type Clock,
  makeMayHaveRunOutcome,
  makeNotRunOutcome,
  type Outcome,
  Verdict,
} from "../base/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Filter } from "./filter.ts";
import { ReceiveFilter } from "./filters/1_receive.ts";
import { AuthenticateFilter } from "./filters/2_authenticate.ts";
import { ScreenFilter } from "./filters/3_screen.ts";
import { AdmitFilter } from "./filters/4_admit.ts";
import { DeduplicateFilter } from "./filters/5_deduplicate.ts";
import { DispatchFilter } from "./filters/6_dispatch.ts";
import { assertOutcome, checkAnswers } from "./filters/7_settle.ts";
import type { PipelineHost, RawRequest, RequestContext } from "./types.ts";

/**
 * Applies the filters to a request in order, until one of them returns an
 * outcome.
 */
export class Pipeline {
  readonly #host: PipelineHost;
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #log: EventLog;
  readonly #filters: Filter[];

  constructor(
    options: {
      host: PipelineHost;
      clock: Clock;
      metrics: Metrics;
      log: EventLog;
    },
  ) {
    const { host } = options;
    this.#host = host;
    this.#clock = options.clock;
    this.#metrics = options.metrics;
    this.#log = options.log;
    this.#filters = [
      new ReceiveFilter(host),
      new AuthenticateFilter(host),
      new ScreenFilter(host),
      new AdmitFilter(host),
      new DeduplicateFilter(host),
      new DispatchFilter(host),
    ];
  }

  /**
   * Creates the context of a request. All filters use the configuration that is
   * in force now, even if a newer one is adopted before the request ends.
   */
  createContext(raw: RawRequest): RequestContext {
    return { raw, configuration: this.#host.getConfiguration() };
  }

  /**
   * Runs a request through the filters and reports its outcome to the home of
   * its idempotency key. Never throws: an error becomes an outcome.
   */
  async run(context: RequestContext): Promise<Outcome> {
    const outcome = await this.#computeOutcome(context);
    try {
      context.finishKey?.(outcome);
    } catch (error) {
      this.#recordError(context, error);
    }
    const { verdict, cause, detail } = outcome;
    this.#metrics.countEvent("outcomes", { verdict, cause });
    if (context.routed && verdict === Verdict.MayHaveRun) {
      const subject = context.raw.id;
      this.#log.record(EventCode.AttemptLost, { subject, cause, detail });
    }
    return outcome;
  }

  async #computeOutcome(context: RequestContext): Promise<Outcome> {
    try {
      const outcome = await this.#applyFilters(context);
      const checkedOutcome = checkAnswers(
        context,
        restrictVerdict(context, outcome),
      );
      if (
        checkedOutcome.verdict !== Verdict.Ran && outcome.answers.length > 0
      ) {
        this.#log.record(EventCode.AnswerDropped, {
          subject: context.raw.id,
          tasks: outcome.answers.map(({ task }) => task),
          reason: checkedOutcome.detail,
        });
      }
      assertOutcome(checkedOutcome);
      return checkedOutcome;
    } catch (error) {
      this.#recordError(context, error);
      return restrictVerdict(context, makeInternalErrorOutcome(context, error));
    }
  }

  #recordError({ raw }: RequestContext, error: unknown): void {
    this.#metrics.countEvent("invariant_failures");
    this.#log.record(EventCode.InvariantBroken, {
      subject: raw.id,
      error: String(error),
    });
  }

  async #applyFilters(context: RequestContext): Promise<Outcome> {
    for (const filter of this.#filters) {
      const startedAt = this.#clock.now();
      const outcome = await filter.apply(context, startedAt);
      const durationMs = this.#clock.now() - startedAt;
      this.#metrics.observeDuration("filter", durationMs, {
        filter: filter.name,
      });
      if (outcome) return outcome;
    }
    return makeNotRunOutcome(Cause.NoEndpoint, "no filter returned an outcome");
  }
}

/**
 * Returns the outcome of a request after an error of this entry. Work that was
 * not dispatched yet cannot have run.
 */
function makeInternalErrorOutcome(
  context: RequestContext,
  error: unknown,
): Outcome {
  const detail = `internal error: ${String(error)}`;
  return context.routed
    ? makeMayHaveRunOutcome(Cause.EntryLost, detail)
    : makeNotRunOutcome(Cause.NotReady, detail);
}

/**
 * Changes the verdict "not run" to "may have run" if a request with an
 * idempotency key was refused before the key was looked up: an earlier request
 * with the same key may have run.
 */
function restrictVerdict(context: RequestContext, outcome: Outcome): Outcome {
  const hasKey = context.raw.idempotencyKey !== undefined;
  if (!hasKey || context.finishKey) return outcome;
  if (outcome.verdict !== Verdict.NotRun) return outcome;
  if (NEVER_RAN_CAUSES.has(outcome.cause)) return outcome;
  const detail = `${outcome.detail}; this request did not run, but an ` +
    "earlier one with the same key may have";
  return { ...outcome, verdict: Verdict.MayHaveRun, detail };
}

/** Causes that rule out an earlier run of the same request. */
const NEVER_RAN_CAUSES = new Set([Cause.BadRequest, Cause.KeyReused]);
