import {
  type Clock,
  computeRetryAfter,
  NotSentError,
  type Random,
} from "../base/mod.ts";
import { Admission } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { JobSpec, StepSpec } from "../jobs/mod.ts";
import { CancelReply, type SubmitReply } from "../links/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ConfigFeed } from "./config_feed.ts";
import {
  ANSWER_MARGIN_MS,
  DEFAULT_DEADLINE_MS,
  KEY_TRUST_PART,
  NO_OWNER_RETRY_MS,
  OWNER_ANSWER_MS,
} from "./constants.ts";
import type { OwnerGateway } from "./owner_gateway.ts";
import {
  AnswerKind,
  type CallerAnswer,
  type CallerRequest,
  type QueueRoute,
} from "./types.ts";

/** A job as a caller describes it. */
export interface JobRequest {
  id: string;
  payload: string;
  steps: StepSpec[];
  occurrences: number;
  firstRunAt: number;
  intervalMs: number;
}

interface Admitted {
  queue: QueueRoute;
  organisation: string;
}

/** What the service works with. */
export interface CallerParts {
  config: ConfigFeed;
  gateway: OwnerGateway;
  clock: Clock;
  log: EventLog;
  random: Random;
  metrics: Metrics;
  /** Within this time a revoked key must stop working, in milliseconds. */
  getRevokeMs: () => number;
}

/** Methods that change nothing: a caller can repeat them at any time. */
const READS: ReadonlySet<string> = new Set(["find", "count"]);

/** Serves callers: screens, authenticates, and asks the cell's owner. */
export class CallerService {
  readonly #parts: CallerParts;
  #underWay = 0;

  constructor(parts: CallerParts) {
    this.#parts = parts;
  }

  /** Requests that have no answer yet. */
  get underWay(): number {
    return this.#underWay;
  }

  /** Tells whether requests with a key can be served now. */
  canTrustKeys(): boolean {
    const { config, clock, getRevokeMs } = this.#parts;
    return config.measureAge(clock.now()) <= getRevokeMs() * KEY_TRUST_PART;
  }

  /** Hands in a job; `parse` reads it once the request is admitted. */
  submit(
    request: CallerRequest,
    parse: (queue: QueueRoute) => JobRequest | string,
  ): Promise<CallerAnswer> {
    return this.#serve("submit", request, async ({ queue, organisation }) => {
      const job = parse(queue);
      if (typeof job === "string") {
        return { kind: AnswerKind.BadRequest, detail: job };
      }
      const spec: JobSpec = { ...job, organisation, queue: selectRules(queue) };
      const reply = await this.#parts.gateway.call(
        "job.submit",
        { job: spec },
        { timeoutMs: computeTimeout(request) },
      );
      return this.#describeSubmission(spec, reply);
    });
  }

  /** Tells the state of a job. */
  find(request: CallerRequest, id: string): Promise<CallerAnswer> {
    return this.#serve("find", request, async ({ organisation }) => {
      const found = await this.#parts.gateway.call(
        "job.find",
        { id, organisation },
        { timeoutMs: computeTimeout(request) },
      );
      if (!found) return { kind: AnswerKind.NoSuchJob, detail: id };
      return { kind: AnswerKind.State, detail: "", state: found.state };
    });
  }

  /** Cancels a job. */
  cancel(request: CallerRequest, id: string): Promise<CallerAnswer> {
    return this.#serve("cancel", request, async ({ organisation }) => {
      const reply = await this.#parts.gateway.call(
        "job.cancel",
        { id, organisation },
        { timeoutMs: computeTimeout(request) },
      );
      if (reply === CancelReply.NoSuchJob) {
        return { kind: AnswerKind.NoSuchJob, detail: id };
      }
      return reply === CancelReply.Cancelled
        ? { kind: AnswerKind.Cancelled, detail: "" }
        : { kind: AnswerKind.Unknown, detail: "the owner has changed" };
    });
  }

  /** Counts the jobs of a queue of which nothing has started. */
  count(request: CallerRequest): Promise<CallerAnswer> {
    return this.#serve("count", request, async ({ queue }) => {
      const count = await this.#parts.gateway.call(
        "queue.count",
        { queue: queue.name },
        { timeoutMs: computeTimeout(request) },
      );
      return { kind: AnswerKind.Count, detail: "", count };
    });
  }

  async #serve(
    method: string,
    request: CallerRequest,
    run: (admitted: Admitted) => Promise<CallerAnswer>,
  ): Promise<CallerAnswer> {
    const startedAt = this.#parts.clock.now();
    this.#underWay++;
    try {
      const admitted = this.#admit(request, startedAt);
      const answer = "kind" in admitted
        ? admitted
        : await this.#ask(method, request, () => run(admitted));
      this.#noteAnswer(method, answer, { request, startedAt });
      return answer;
    } finally {
      this.#underWay--;
    }
  }

  #admit(request: CallerRequest, now: number): Admitted | CallerAnswer {
    const { config } = this.#parts;
    if (!config.config) return this.#refuse("there is no configuration yet");
    const queue = config.findQueue(request);
    if (!queue) return { kind: AnswerKind.NoSuchQueue, detail: request.path };
    if (queue.isOpen) return { queue, organisation: "" };
    if (!this.canTrustKeys()) {
      const age = config.measureAge(now);
      return this.#refuse(`keys were last confirmed ${Math.round(age)} ms ago`);
    }
    const organisation = config.findOrganisation(request.key);
    if (!organisation) {
      return {
        kind: AnswerKind.Unauthenticated,
        detail: "the key is not known",
      };
    }
    return { queue, organisation: organisation.name };
  }

  async #ask(
    method: string,
    request: CallerRequest,
    run: () => Promise<CallerAnswer>,
  ): Promise<CallerAnswer> {
    try {
      return await run();
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const hasNoEffect = READS.has(method) || error instanceof NotSentError;
      if (hasNoEffect) return this.#refuse(detail);
      this.#parts.log.record(EventCode.JobUnsettled, {
        method,
        path: request.path,
        reason: detail,
      });
      return { kind: AnswerKind.Unknown, detail };
    }
  }

  #refuse(detail: string): CallerAnswer {
    return {
      kind: AnswerKind.Unavailable,
      detail,
      retryAfterMs: computeRetryAfter(NO_OWNER_RETRY_MS, this.#parts.random),
    };
  }

  #describeSubmission(spec: JobSpec, reply: SubmitReply): CallerAnswer {
    if (reply.isUnknown) {
      return { kind: AnswerKind.Unknown, detail: "the owner has changed" };
    }
    const { admission, reason, retryAfterMs } = reply;
    if (admission === Admission.NotOwner) return this.#refuse(reason);
    if (admission === Admission.Refused) {
      return { kind: AnswerKind.Refused, detail: reason, retryAfterMs };
    }
    this.#parts.log.record(EventCode.JobAccepted, {
      subject: spec.id,
      queue: spec.queue.name,
      organisation: spec.organisation,
      admission,
    });
    return { kind: AnswerKind.Accepted, detail: "" };
  }

  #noteAnswer(
    method: string,
    answer: CallerAnswer,
    context: { request: CallerRequest; startedAt: number },
  ): void {
    const { metrics, clock, log, config } = this.#parts;
    const elapsed = clock.now() - context.startedAt;
    const labels = { method, outcome: answer.kind };
    metrics.countEvent("requests", labels);
    metrics.observeDuration("request", elapsed, labels);
    const isRefused = answer.kind === AnswerKind.Refused ||
      answer.kind === AnswerKind.Unavailable ||
      answer.kind === AnswerKind.Unauthenticated;
    if (!isRefused) return;
    log.record(EventCode.RequestRefused, {
      method,
      path: context.request.path,
      outcome: answer.kind,
      reason: answer.detail,
      configVersion: config.config?.version,
      configAgeMs: Math.round(config.measureAge(clock.now())),
      elapsedMs: Math.round(elapsed),
    });
  }
}

function computeTimeout({ deadlineMs }: CallerRequest): number {
  const bounded = deadlineMs > 0 ? deadlineMs : DEFAULT_DEADLINE_MS;
  const left = Math.max(ANSWER_MARGIN_MS, bounded - ANSWER_MARGIN_MS);
  return Math.min(OWNER_ANSWER_MS, left);
}

function selectRules(queue: QueueRoute): JobSpec["queue"] {
  const { host: _host, prefix: _prefix, isOpen: _isOpen, ...rules } = queue;
  return rules;
}
