import {
  type Clock,
  computeRetryAfter,
  NotSentError,
  type Random,
} from "../base/mod.ts";
import { Admission } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import { findTextError, type JobSpec } from "../jobs/mod.ts";
import { CancelReply, type SubmitReply } from "../links/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ConfigFeed } from "./config_feed.ts";
import { KEY_TRUST_FRACTION, NO_OWNER_RETRY_MS } from "./constants.ts";
import { OwnerCalls, ReplyKind } from "./owner_calls.ts";
import type { OwnerGateway } from "./owner_gateway.ts";
import {
  type AdmittedCaller,
  AnswerKind,
  type CallerAnswer,
  type CallerRequest,
  type JobRequest,
  type QueueRoute,
} from "./types.ts";
import {
  classifySubmitReply,
  computeTimeout,
  formatRequestKey,
  selectQueueRules,
} from "./caller_requests.ts";
import { UnsettledRequests } from "./unsettled_requests.ts";

/** The dependencies and settings of a `CallerService`. */
export interface CallerServiceParts {
  config: ConfigFeed;
  gateway: OwnerGateway;
  clock: Clock;
  log: EventLog;
  random: Random;
  metrics: Metrics;
  /** Returns the time in which a revoked key must stop working, in ms. */
  getKeyRevocationMs: () => number;
  /**
   * Returns whether a submission that reaches an owner too late for an answer in time
   * is refused instead of being sent.
   */
  refusesLateSubmissions?: () => boolean;
}

/**
 * Serves callers' requests: finds the queue, checks the key, and forwards the
 * request to the cell's owner.
 */
export class CallerService {
  readonly #parts: CallerServiceParts;
  readonly #ownerCalls: OwnerCalls;
  readonly #unsettledSubmissions = new UnsettledRequests();
  #inFlightCount = 0;

  constructor(parts: CallerServiceParts) {
    this.#parts = parts;
    const { config, ...rest } = parts;
    this.#ownerCalls = new OwnerCalls({
      ...rest,
      canHearOfOwners: () => config.isStoreReachable,
    });
  }

  /** Number of requests in flight. */
  get inFlightCount(): number {
    return this.#inFlightCount;
  }

  /** Returns whether the configuration is recent enough to check keys. */
  canTrustKeys(): boolean {
    const { config, clock, getKeyRevocationMs } = this.#parts;
    return config.measureAge(clock.now()) <=
      getKeyRevocationMs() * KEY_TRUST_FRACTION;
  }

  /** Answers all later requests by this time (steady clock, in ms). */
  restrictAnswers(answerBy: number): void {
    this.#ownerCalls.restrictCalls(answerBy);
  }

  /** Submits a job; `parse` returns the job, or an error text if invalid. */
  submit(
    request: CallerRequest,
    parse: (queue: QueueRoute) => JobRequest | string,
  ): Promise<CallerAnswer> {
    return this.#serve("submit", request, async ({ queue, organisation }) => {
      const job = parse(queue);
      if (typeof job === "string") {
        return { kind: AnswerKind.BadRequest, detail: job };
      }
      const textError = findTextError(job);
      if (textError) return { kind: AnswerKind.BadRequest, detail: textError };
      const spec: JobSpec = {
        ...job,
        organisation,
        queue: selectQueueRules(queue),
      };
      const call = () =>
        this.#ownerCalls.call({
          method: "job.submit",
          params: { job: spec },
          isRead: false,
          classify: classifySubmitReply,
          timeoutMs: computeTimeout(request),
          mayRefuseLate: this.#parts.refusesLateSubmissions?.() ?? false,
        });
      const reply = await this.#unsettledSubmissions.observe(
        formatRequestKey(request),
        {
          now: this.#parts.clock.now(),
          call,
          isSettled: ({ isUnknown }) => !isUnknown,
        },
      );
      return this.#createSubmitAnswer(spec, reply);
    });
  }

  /** Finds the state of a job. */
  find(request: CallerRequest, id: string): Promise<CallerAnswer> {
    return this.#serve("find", request, async ({ organisation }) => {
      const status = await this.#ownerCalls.call({
        method: "job.find",
        params: { id, organisation },
        isRead: true,
        classify: () => ReplyKind.Final,
        timeoutMs: computeTimeout(request),
      });
      this.#parts.log.record(EventCode.JobAsked, {
        subject: id,
        organisation,
        state: status?.state,
      });
      if (!status) return { kind: AnswerKind.NoSuchJob, detail: id };
      return { kind: AnswerKind.State, detail: "", state: status.state };
    });
  }

  /** Cancels a job. */
  cancel(request: CallerRequest, id: string): Promise<CallerAnswer> {
    return this.#serve("cancel", request, async ({ organisation }) => {
      const reply = await this.#ownerCalls.call({
        method: "job.cancel",
        params: { id, organisation },
        isRead: false,
        classify: (reply) =>
          reply === CancelReply.Unknown ? ReplyKind.Unknown : ReplyKind.Final,
        timeoutMs: computeTimeout(request),
      });
      if (reply === CancelReply.NoSuchJob) {
        return { kind: AnswerKind.NoSuchJob, detail: id };
      }
      return reply === CancelReply.Cancelled
        ? { kind: AnswerKind.Cancelled, detail: "" }
        : { kind: AnswerKind.Unknown, detail: "the owner has changed" };
    });
  }

  /** Counts the jobs of a queue of which no task has started. */
  count(request: CallerRequest): Promise<CallerAnswer> {
    return this.#serve("count", request, async ({ queue }) => {
      const count = await this.#ownerCalls.call({
        method: "queue.count",
        params: { queue: queue.name },
        isRead: true,
        classify: () => ReplyKind.Final,
        timeoutMs: computeTimeout(request),
      });
      return { kind: AnswerKind.Count, detail: "", count };
    });
  }

  /**
   * Answers a request that this entry has no room for. It was not passed on, but an
   * earlier attempt of a submission may have been.
   */
  refuse(
    request: CallerRequest,
    { isSubmission, reason }: { isSubmission: boolean; reason: string },
  ): CallerAnswer {
    const method = isSubmission ? "submit" : "other";
    return this.#createUndeliveredAnswer(request, { method, reason });
  }

  async #serve(
    method: string,
    request: CallerRequest,
    handler: (admitted: AdmittedCaller) => Promise<CallerAnswer>,
  ): Promise<CallerAnswer> {
    const startedAt = this.#parts.clock.now();
    this.#inFlightCount++;
    try {
      const admitted = this.#admit(request, { method, now: startedAt });
      const answer = "kind" in admitted
        ? admitted
        : await this.#callOwner(method, request, () => handler(admitted));
      this.#recordAnswer(method, answer, { request, startedAt });
      return answer;
    } finally {
      this.#inFlightCount--;
    }
  }

  #admit(
    request: CallerRequest,
    { method, now }: { method: string; now: number },
  ): AdmittedCaller | CallerAnswer {
    const { config } = this.#parts;
    if (!config.config) {
      const reason = "no configuration has been read yet";
      return this.#createLocalRefusal(request, { method, reason });
    }
    const queue = config.findQueue(request);
    if (!queue) return { kind: AnswerKind.NoSuchQueue, detail: request.path };
    if (queue.isOpen) return { queue, organisation: "" };
    if (!this.canTrustKeys()) {
      const ageMs = config.measureAge(now);
      const reason = `keys were last confirmed ${Math.round(ageMs)} ms ago`;
      return this.#createLocalRefusal(request, { method, reason });
    }
    const organisation = config.findOrganisation(request.key);
    if (!organisation) {
      return {
        kind: AnswerKind.Unauthenticated,
        detail: "unknown API key",
      };
    }
    return { queue, organisation: organisation.name };
  }

  async #callOwner(
    method: string,
    request: CallerRequest,
    call: () => Promise<CallerAnswer>,
  ): Promise<CallerAnswer> {
    try {
      return await call();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return error instanceof NotSentError
        ? this.#createUndeliveredAnswer(request, { method, reason })
        : this.#createUnknownAnswer(request, { method, reason });
    }
  }

  #createUnknownAnswer(
    { path }: CallerRequest,
    { method, reason }: { method: string; reason: string },
  ): CallerAnswer {
    this.#parts.log.record(EventCode.JobUnsettled, { method, path, reason });
    return { kind: AnswerKind.Unknown, detail: reason };
  }

  /**
   * Answers a request that this entry can't serve for lack of the store. Load: the store
   * turns some entries away for seconds and serves the others. A caller that waits is
   * late; one that reconnects at once, to another entry, is not.
   */
  #createLocalRefusal(
    request: CallerRequest,
    options: { method: string; reason: string },
  ): CallerAnswer {
    const { gateway, refusesLateSubmissions } = this.#parts;
    const answer = this.#createUndeliveredAnswer(request, options);
    const isServedElsewhere = answer.kind === AnswerKind.Unavailable &&
      refusesLateSubmissions?.() === true && gateway.canOthersServe;
    return isServedElsewhere
      ? { ...answer, retryAfterMs: 0, isServedElsewhere }
      : answer;
  }

  /**
   * Answers a request that reached no owner: it did not run, but an earlier
   * attempt of a submission may have.
   */
  #createUndeliveredAnswer(
    request: CallerRequest,
    { method, reason }: { method: string; reason: string },
  ): CallerAnswer {
    const now = this.#parts.clock.now();
    const mayHaveRun = method === "submit" &&
      this.#unsettledSubmissions.has(formatRequestKey(request), now);
    if (!mayHaveRun) return this.#createUnavailableAnswer(reason);
    return this.#createUnknownAnswer(request, {
      method,
      reason: `${reason}; an earlier attempt may have had an effect`,
    });
  }

  #createUnavailableAnswer(detail: string): CallerAnswer {
    return {
      kind: AnswerKind.Unavailable,
      detail,
      retryAfterMs: computeRetryAfter(NO_OWNER_RETRY_MS, this.#parts.random),
    };
  }

  #createSubmitAnswer(spec: JobSpec, reply: SubmitReply): CallerAnswer {
    if (reply.isUnknown) {
      return { kind: AnswerKind.Unknown, detail: "the owner has changed" };
    }
    const { admission, expectedMs, reason, retryAfterMs } = reply;
    if (admission === Admission.StoreStalled) {
      return this.#createUnavailableAnswer(reason);
    }
    if (admission === Admission.Refused) {
      return { kind: AnswerKind.Refused, detail: reason, retryAfterMs };
    }
    if (admission === Admission.IdTaken) {
      return { kind: AnswerKind.IdTaken, detail: reason };
    }
    this.#parts.log.record(EventCode.JobAccepted, {
      subject: spec.id,
      queue: spec.queue.name,
      organisation: spec.organisation,
      admission,
      expectedMs,
    });
    return { kind: AnswerKind.Accepted, detail: "" };
  }

  #recordAnswer(
    method: string,
    answer: CallerAnswer,
    context: { request: CallerRequest; startedAt: number },
  ): void {
    const { metrics, clock, log, config } = this.#parts;
    const durationMs = clock.now() - context.startedAt;
    const labels = { method, outcome: answer.kind };
    metrics.countEvent("requests", labels);
    metrics.observeDuration("request", durationMs, labels);
    const isRefused = answer.kind === AnswerKind.Refused ||
      answer.kind === AnswerKind.IdTaken ||
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
      elapsedMs: Math.round(durationMs),
    });
  }
}
