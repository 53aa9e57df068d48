import type { Clock } from "../base/mod.ts";
import { type Endpoint, noteLeaseSent, RunPhase } from "../cell/mod.ts";
import {
  HOLD_INTERVAL_MS,
  HOLD_RETRY_MS,
  HOLD_TIMEOUT_MS,
  HOLD_WAIT_MS,
  SHARED_WAIT_MS,
} from "./constants.ts";
import type { EndpointControl, HoldAnswer, HoldOrder } from "./ports.ts";

/** What a session tells the cell's owner. */
export abstract class SessionHost {
  /** False while the owner may not prolong leases. */
  abstract mayOrder(now: number): boolean;

  /** An endpoint has answered. */
  abstract noteHold(
    endpoint: Endpoint,
    held: { answer: HoldAnswer; askedAt: number },
  ): void;

  /** An endpoint has not answered. */
  abstract noteSilence(
    endpoint: Endpoint,
    failure: { error: unknown; elapsedMs: number },
  ): void;
}

/** Keeps the leases of one endpoint and reads its lists while there is need. */
export class EndpointSession {
  readonly #endpoint: Endpoint;
  readonly #control: EndpointControl;
  readonly #clock: Clock;
  readonly #host: SessionHost;
  readonly #fence: number;
  readonly #leaseMs: number;
  #checkNow: () => void = () => {};
  #isIdle = false;
  #isStopped = false;
  #isLooking = false;
  #isSilent = false;
  #toldEnd = 0;
  #toldBornAt = 0;

  constructor(options: {
    endpoint: Endpoint;
    control: EndpointControl;
    clock: Clock;
    host: SessionHost;
    fence: number;
    leaseMs: number;
  }) {
    this.#endpoint = options.endpoint;
    this.#control = options.control;
    this.#clock = options.clock;
    this.#host = options.host;
    this.#fence = options.fence;
    this.#leaseMs = options.leaseMs;
  }

  /** Runs until stopped; it rests while the endpoint has nothing to tell. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      if (!this.#isPollDue()) {
        await this.#waitForWork();
        continue;
      }
      const startedAt = this.#clock.now();
      const isAnswered = await this.#pollOnce(startedAt, {
        waitMs: this.#endpoint.isShared ? SHARED_WAIT_MS : HOLD_WAIT_MS,
      });
      const elapsed = this.#clock.now() - startedAt;
      const pause = isAnswered ? HOLD_INTERVAL_MS - elapsed : HOLD_RETRY_MS;
      if (pause > 0) await this.#clock.sleep(pause);
    }
  }

  /** Looks again whether the endpoint has something to tell. */
  checkNow(): void {
    if (this.#isIdle) return this.#checkNow();
    const isUnsure = [...this.#endpoint.runs.values()].some(({ phase }) =>
      phase === RunPhase.Unsure
    );
    if (isUnsure) void this.#pollNow();
  }

  /** Asks beside a listing that waits: a start has had no answer. */
  async #pollNow(): Promise<void> {
    if (this.#isLooking || this.#isStopped) return;
    this.#isLooking = true;
    await this.#pollOnce(this.#clock.now(), { waitMs: 0 });
    await this.#clock.sleep(HOLD_INTERVAL_MS);
    this.#isLooking = false;
  }

  /** Sends nothing more. */
  stop(): void {
    this.#isStopped = true;
    this.checkNow();
  }

  #isPollDue(): boolean {
    const { isHeld, isReplaced, runs, isListed, isRecorded } = this.#endpoint;
    if (isReplaced) return false;
    if (runs.size > 0) return true;
    return isHeld ? this.#hasNews() : isListed || isRecorded;
  }

  /** Ends are stored that the endpoint has not been told of. */
  #hasNews(): boolean {
    const { committedEnd, bornAt } = this.#endpoint;
    return committedEnd > (bornAt === this.#toldBornAt ? this.#toldEnd : 0);
  }

  async #waitForWork(): Promise<void> {
    this.#isIdle = true;
    await new Promise<void>((resolve) => this.#checkNow = resolve);
    this.#isIdle = false;
  }

  async #pollOnce(
    now: number,
    options: { waitMs: number },
  ): Promise<boolean> {
    const endpoint = this.#endpoint;
    if (!this.#host.mayOrder(now)) return false;
    const { id, address } = endpoint.info;
    const hasRuns = endpoint.runs.size > 0;
    const order: HoldOrder = {
      fence: this.#fence,
      notedEnd: this.#hasNews() ? endpoint.committedEnd : 0,
      waitMs: endpoint.isHeld && hasRuns ? options.waitMs : 0,
    };
    // While it does not answer its leases are left to end: only then is it
    // known when its tasks may run elsewhere.
    if (endpoint.isHeld && hasRuns && !this.#isSilent) {
      order.leaseUntil = Math.floor(now + endpoint.clockOffset) + this.#leaseMs;
      noteLeaseSent(endpoint, { now, leaseMs: this.#leaseMs });
    }
    const { bornAt } = endpoint;
    const target = { id, address, bornAt: 0 };
    try {
      const timeoutMs = order.waitMs + HOLD_TIMEOUT_MS;
      const answer = await this.#control.poll(target, order, { timeoutMs });
      if (this.#isStopped) return true;
      this.#isSilent = false;
      if (order.notedEnd > 0) {
        this.#toldEnd = order.notedEnd;
        this.#toldBornAt = bornAt;
      }
      this.#host.noteHold(endpoint, { answer, askedAt: now });
      return true;
    } catch (error) {
      this.#isSilent = true;
      if (order.notedEnd > 0) endpoint.unansweredNoteAt = now;
      const elapsedMs = this.#clock.now() - now;
      if (!this.#isStopped) {
        this.#host.noteSilence(endpoint, { error, elapsedMs });
      }
      return false;
    }
  }
}
