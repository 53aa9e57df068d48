import { type Clock, NotSentError } from "../base/mod.ts";
import {
  beginLeaseOrder,
  canEndPause,
  type Endpoint,
  hasHiddenEnds,
  hasStartInDoubt,
  isSuperseded,
  LeaseOutcome,
  noteAckUnanswered,
  noteFenceUnanswered,
  type OwnerFence,
  raiseFence,
  RunPhase,
  settleLeaseOrder,
  START_CONFIRM_MS,
} from "../cell/mod.ts";
import {
  COLOCATED_POLL_WAIT_MS,
  LEASE_RENEWAL_MS,
  MAX_WITHHELD_MS,
  POLL_INTERVAL_MS,
  POLL_RETRY_PAUSE_MS,
  POLL_TIMEOUT_MARGIN_MS,
  POLL_WAIT_MS,
} from "./constants.ts";
import {
  type EndpointControl,
  type PollAnswer,
  type PollRequest,
  PollResult,
} from "./ports.ts";

/** A poll without an answer. */
export interface PollFailure {
  error: unknown;
  elapsedMs: number;
  /** The poll was sent, and its connection broke before the timeout. */
  isBroken: boolean;
}

/** Receives the results of an `EndpointSession`. */
export abstract class SessionHost {
  /** Returns whether the owner may renew leases now. */
  abstract mayOrder(now: number): boolean;

  /** Returns the shortest time between two polls of one endpoint, in milliseconds. */
  abstract getPollInterval(): number;

  /** Called when the endpoint has answered a poll. */
  abstract handlePollAnswer(
    endpoint: Endpoint,
    poll: { answer: PollAnswer; askedAt: number; fence: number },
  ): void;

  /** Called when a poll has failed. */
  abstract handlePollFailure(endpoint: Endpoint, failure: PollFailure): void;
}

/**
 * Polls one endpoint: renews its leases and reads its lists of running and
 * ended runs. Polls only while the endpoint has runs, has ends that are not
 * acknowledged, or has not accepted this owner's fencing token. Ends that were cut off
 * from a listing are asked for as soon as those before them may be acknowledged.
 */
export class EndpointSession {
  readonly #endpoint: Endpoint;
  readonly #control: EndpointControl;
  readonly #clock: Clock;
  readonly #host: SessionHost;
  readonly #fence: OwnerFence;
  readonly #leaseMs: number;
  #resume: () => void = () => {};
  #endPause: () => void = () => {};
  #isIdle = false;
  #isStopped = false;
  #isExtraPollInFlight = false;
  #isUnresponsive = false;
  #acknowledgedEnd = 0;
  #acknowledgedBornAt = 0;
  /** Since when ends could not be acknowledged because of starts; undefined: they can. */
  #withheldSince: number | undefined;

  constructor(options: {
    endpoint: Endpoint;
    control: EndpointControl;
    clock: Clock;
    host: SessionHost;
    fence: OwnerFence;
    leaseMs: number;
  }) {
    this.#endpoint = options.endpoint;
    this.#control = options.control;
    this.#clock = options.clock;
    this.#host = options.host;
    this.#fence = options.fence;
    this.#leaseMs = options.leaseMs;
  }

  /** Polls until stopped; pauses while no poll is due. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      if (!this.#isPollDue()) {
        await this.#waitForWork();
        continue;
      }
      const startedAt = this.#clock.now();
      const isAnswered = await this.#pollOnce(startedAt, {
        waitMs: this.#computeWait(startedAt),
        mayRenew: true,
      });
      const elapsedMs = this.#clock.now() - startedAt;
      const pauseMs = isAnswered
        ? this.#computePause(startedAt + elapsedMs, elapsedMs)
        : POLL_RETRY_PAUSE_MS;
      if (pauseMs > 0) await this.#waitBetweenPolls(pauseMs);
    }
  }

  /** Waits between two polls; the next page of a listing ends the pause early. */
  async #waitBetweenPolls(pauseMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const cancel = this.#clock.schedule(resolve, pauseMs);
      this.#endPause = () => {
        cancel();
        resolve();
      };
    });
    this.#endPause = () => {};
  }

  /**
   * Checks at once whether a poll is due. If a start was left unanswered a moment
   * ago, sends a poll that does not wait even while a long poll is in flight.
   */
  checkNow(): void {
    if (this.#isIdle) {
      if (this.#isStopped || this.#isPollDue()) this.#resume();
      return;
    }
    if (this.#isNextPageReady()) this.#endPause();
    if (this.#isExtraPollInFlight) return;
    const now = this.#clock.now();
    // A start that was left unanswered is an unanswered lease too.
    if (now - this.#endpoint.unansweredLeaseAt > START_CONFIRM_MS) return;
    for (const { phase, lastChangedAt } of this.#endpoint.runs.values()) {
      if (phase !== RunPhase.Unacknowledged) continue;
      if (now - lastChangedAt > START_CONFIRM_MS) continue;
      void this.#pollWithoutWait();
      return;
    }
  }

  /**
   * Polls without waiting, to find out whether unanswered starts succeeded. Renews no
   * leases: another poll that does may be on its way.
   */
  async #pollWithoutWait(): Promise<void> {
    if (this.#isExtraPollInFlight || this.#isStopped) return;
    this.#isExtraPollInFlight = true;
    await this.#pollOnce(this.#clock.now(), { waitMs: 0, mayRenew: false });
    await this.#clock.sleep(POLL_INTERVAL_MS);
    this.#isExtraPollInFlight = false;
  }

  /** Stops polling. */
  stop(): void {
    this.#isStopped = true;
    this.checkNow();
  }

  #isPollDue(): boolean {
    const { hasAcceptedFence, isReplaced, isListed, isRecorded } =
      this.#endpoint;
    if (isReplaced) return false;
    if (this.#endpoint.runs.size > 0 || this.#canEndPause()) return true;
    return hasAcceptedFence
      ? this.#hasUnacknowledgedEnds() || hasHiddenEnds(this.#endpoint)
      : isListed || isRecorded;
  }

  /** Returns whether a poll with a higher fencing token ends a pause of starts. */
  #canEndPause(): boolean {
    const now = this.#clock.now();
    return canEndPause(this.#endpoint, { owner: this.#fence, now });
  }

  /**
   * Returns whether ends of the endpoint are committed but not acknowledged.
   */
  #hasUnacknowledgedEnds(): boolean {
    const { committedEndNumber, bornAt } = this.#endpoint;
    return committedEndNumber >
      (bornAt === this.#acknowledgedBornAt ? this.#acknowledgedEnd : 0);
  }

  /**
   * Returns whether to acknowledge ends. Their numbers start over with each lifetime:
   * a later one would drop ends that nobody has seen. So the endpoint must have
   * answered the last poll, and no start may have reached a later lifetime.
   */
  #mayAcknowledge(): boolean {
    return !this.#isUnresponsive && this.#hasUnacknowledgedEnds() &&
      !hasStartInDoubt(this.#endpoint);
  }

  /** Returns whether the next poll can list ends that were cut off so far. */
  #isNextPageReady(): boolean {
    return hasHiddenEnds(this.#endpoint) && this.#mayAcknowledge();
  }

  /** Computes for how long the endpoint may delay its answer to a poll. */
  #computeWait(now: number): number {
    const { isColocated, stallCheckAt = 0 } = this.#endpoint;
    let waitMs = isColocated ? COLOCATED_POLL_WAIT_MS : POLL_WAIT_MS;
    if (!this.#isRenewalDue(now)) {
      const renewalAt = this.#endpoint.leases.renewedAt + LEASE_RENEWAL_MS;
      waitMs = Math.min(waitMs, Math.ceil(renewalAt - now));
    }
    return stallCheckAt > now
      ? Math.min(waitMs, Math.ceil(stallCheckAt - now))
      : waitMs;
  }

  /**
   * Returns whether to renew leases now. Each renewal that gets no answer may extend the
   * leases of a lost endpoint by its whole length, so that one is sent only once the last
   * one has lost some of its own.
   */
  #isRenewalDue(now: number): boolean {
    const ageMs = now - this.#endpoint.leases.renewedAt;
    return ageMs >= LEASE_RENEWAL_MS - POLL_INTERVAL_MS;
  }

  /** Notes whether a poll that is sent now leaves ends unacknowledged. */
  #noteWithheld(now: number, acknowledgedEnd: number): void {
    const isWithheld = acknowledgedEnd === 0 && this.#hasUnacknowledgedEnds();
    this.#withheldSince = isWithheld ? this.#withheldSince ?? now : undefined;
  }

  /** Returns whether ends have waited for their acknowledgement for too long. */
  #isAcknowledgementOverdue(now: number): boolean {
    return this.#withheldSince !== undefined &&
      now - this.#withheldSince >= MAX_WITHHELD_MS;
  }

  /**
   * Computes the pause after an answered poll. Load: starts follow one another so fast
   * that one is always unlisted after a pause; overdue ends are acknowledged right after
   * a listing.
   */
  #computePause(now: number, elapsedMs: number): number {
    const isDueNow = this.#isNextPageReady() ||
      this.#isAcknowledgementOverdue(now) && this.#mayAcknowledge();
    return isDueNow ? 0 : this.#host.getPollInterval() - elapsedMs;
  }

  /** Notes that a poll got no answer and may be carried out later. */
  #noteUnanswered(now: number, { fence, acknowledgedEnd }: PollRequest): void {
    const endpoint = this.#endpoint;
    noteFenceUnanswered(endpoint, fence);
    if (acknowledgedEnd > 0) noteAckUnanswered(endpoint, { now, token: fence });
  }

  async #waitForWork(): Promise<void> {
    this.#isIdle = true;
    await new Promise<void>((resolve) => this.#resume = resolve);
    this.#isIdle = false;
  }

  /** Sends one poll; returns whether the endpoint answered. */
  async #pollOnce(
    now: number,
    options: { waitMs: number; mayRenew: boolean },
  ): Promise<boolean> {
    const endpoint = this.#endpoint;
    if (!this.#host.mayOrder(now)) return false;
    const { id, address } = endpoint.info;
    const hasRuns = endpoint.runs.size > 0;
    const hasContact = endpoint.hasAcceptedFence && hasRuns;
    const isAnswering = hasContact && !this.#isUnresponsive;
    const renewsLeases = isAnswering && options.mayRenew &&
      this.#isRenewalDue(now);
    const acknowledgedEnd = this.#mayAcknowledge()
      ? endpoint.committedEndNumber
      : 0;
    this.#noteWithheld(now, acknowledgedEnd);
    const mayWait = isAnswering && !this.#isAcknowledgementOverdue(now) &&
      !this.#canEndPause() && !hasHiddenEnds(endpoint);
    const fence = raiseFence(endpoint, this.#fence);
    const request: PollRequest = {
      fence,
      acknowledgedEnd,
      // An endpoint that did not answer may have restarted and have no run that could end.
      waitMs: mayWait ? options.waitMs : 0,
    };
    // Leases are not renewed while polls fail: each attempt would postpone the
    // time from which the leases are known to have expired, and the tasks could
    // never restart elsewhere.
    if (renewsLeases) {
      request.leaseUntil = Math.floor(now + endpoint.clockOffset) +
        this.#leaseMs;
    }
    const leaseOrder = renewsLeases
      ? beginLeaseOrder(endpoint, { now, leaseMs: this.#leaseMs, fence })
      : undefined;
    const settleLease = (outcome: LeaseOutcome) => {
      if (!leaseOrder) return;
      const settledAt = this.#clock.now();
      settleLeaseOrder(endpoint, leaseOrder, { outcome, now: settledAt });
    };
    const { bornAt } = endpoint;
    const target = { id, address, bornAt: 0 };
    const timeoutMs = (hasContact ? options.waitMs : 0) +
      POLL_TIMEOUT_MARGIN_MS;
    try {
      const answer = await this.#control.poll(target, request, { timeoutMs });
      settleLease(
        answer.kind === PollResult.Listed
          ? LeaseOutcome.Granted
          : LeaseOutcome.Refused,
      );
      if (this.#isStopped) return true;
      // An endpoint that has moved: its former address says nothing about it.
      const isFormerAddress = address !== endpoint.info.address;
      if (answer.kind === PollResult.Replaced && isFormerAddress) return true;
      // A poll with a higher token has overtaken this one.
      const isOvertaken = answer.kind === PollResult.Deposed &&
        isSuperseded(endpoint, fence);
      if (isOvertaken) return false;
      this.#isUnresponsive = false;
      if (request.acknowledgedEnd > 0) {
        this.#acknowledgedEnd = request.acknowledgedEnd;
        this.#acknowledgedBornAt = bornAt;
      }
      this.#host.handlePollAnswer(endpoint, { answer, askedAt: now, fence });
      return true;
    } catch (error) {
      this.#isUnresponsive = true;
      const isSent = !(error instanceof NotSentError);
      settleLease(isSent ? LeaseOutcome.Unanswered : LeaseOutcome.Refused);
      if (isSent) this.#noteUnanswered(now, request);
      const elapsedMs = this.#clock.now() - now;
      const isBroken = isSent && elapsedMs < timeoutMs;
      if (!this.#isStopped) {
        const failure = { error, elapsedMs, isBroken };
        this.#host.handlePollFailure(endpoint, failure);
      }
      return false;
    }
  }
}
