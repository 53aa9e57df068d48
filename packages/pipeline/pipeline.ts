import {
  Cause,
  type Clock,
  makeMayHaveRunOutcome,
  makeNotRunOutcome,
  type Outcome,
  Verdict,
} from "../base/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Filter } from "./filter.ts";
import { ReceiveFilter } from "./filters/1_receive.ts";
import { AuthenticateFilter } from "./filters/2_authenticate.ts";
import { ScreenFilter } from "./filters/3_screen.ts";
import { AdmitFilter } from "./filters/4_admit.ts";
import { DeduplicateFilter } from "./filters/5_deduplicate.ts";
import { DispatchFilter } from "./filters/6_dispatch.ts";
import { assertOutcome, settleOutcome } from "./filters/7_settle.ts";
import type { PipelineHost, RawRequest, RequestContext } from "./types.ts";

/**
 * Applies the filters to a request in order, until one of them returns an
 * outcome.
 */
export class Pipeline {
  readonly #host: PipelineHost;
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #filters: Filter[];

  constructor(
    options: { host: PipelineHost; clock: Clock; metrics: Metrics },
  ) {
    const { host } = options;
    this.#host = host;
    this.#clock = options.clock;
    this.#metrics = options.metrics;
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
   * Runs a request through the filters. An error in a filter becomes an
   * outcome.
   *
   * @throws {InvariantError} if a "not run" outcome has answers
   */
  async run(context: RequestContext): Promise<Outcome> {
    let outcome: Outcome;
    try {
      outcome = await this.#applyFilters(context);
    } catch (error) {
      outcome = makeInternalErrorOutcome(context, error);
    }
    const settledOutcome = settleOutcome(
      context,
      restrictVerdict(context, outcome),
    );
    assertOutcome(settledOutcome);
    const labels = {
      verdict: settledOutcome.verdict,
      cause: settledOutcome.cause,
    };
    this.#metrics.countEvent("outcomes", labels);
    return settledOutcome;
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
 * Returns the outcome of a request whose filter threw an error. Work that was
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
