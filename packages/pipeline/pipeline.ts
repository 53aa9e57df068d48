import {
  Cause,
  type Clock,
  makeMayHaveRun,
  makeNotRun,
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

/** The path of a request: each filter passes it on or ends it. */
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

  /** Starts a request's way. */
  createContext(raw: RawRequest): RequestContext {
    return { raw, configuration: this.#host.getConfiguration() };
  }

  /** Sends a request through all filters; never throws. */
  async run(context: RequestContext): Promise<Outcome> {
    let outcome: Outcome;
    try {
      outcome = await this.#applyFilters(context);
    } catch (error) {
      outcome = describeFault(context, error);
    }
    const settled = settleOutcome(context, restrictToHistory(context, outcome));
    assertOutcome(settled);
    const labels = { verdict: settled.verdict, cause: settled.cause };
    this.#metrics.countEvent("outcomes", labels);
    return settled;
  }

  async #applyFilters(context: RequestContext): Promise<Outcome> {
    for (const filter of this.#filters) {
      const before = this.#clock.now();
      const outcome = await filter.apply(context, before);
      const ms = this.#clock.now() - before;
      this.#metrics.observeDuration("filter", ms, { filter: filter.name });
      if (outcome) return outcome;
    }
    return makeNotRun(Cause.NoEndpoint, "no filter took the request");
  }
}

/** Before dispatch nothing can have run; after it, something may have. */
function describeFault(context: RequestContext, error: unknown): Outcome {
  const detail = `internal fault: ${String(error)}`;
  return context.routed
    ? makeMayHaveRun(Cause.EntryLost, detail)
    : makeNotRun(Cause.NotReady, detail);
}

/**
 * A request with an idempotency key that is refused before its history is
 * known must not be called "not run": an earlier one may have run.
 */
function restrictToHistory(context: RequestContext, outcome: Outcome): Outcome {
  const isKeyed = context.raw.idempotencyKey !== undefined;
  if (!isKeyed || context.finishKey) return outcome;
  if (outcome.verdict !== Verdict.NotRun) return outcome;
  if (CERTAIN_CAUSES.has(outcome.cause)) return outcome;
  const detail = `${outcome.detail}; this request did not run, but an ` +
    "earlier one with the same key may have";
  return { ...outcome, verdict: Verdict.MayHaveRun, detail };
}

const CERTAIN_CAUSES = new Set([Cause.BadRequest, Cause.KeyReused]);
