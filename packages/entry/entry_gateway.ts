import {
  Cause,
  type Clock,
  makeMayHaveRunOutcome,
  makeNotRunOutcome,
  NotSentError,
  type Outcome,
} from "../base/mod.ts";
import {
  type Attempt,
  EngineEventType,
  type ReservationRequest,
} from "../engine/mod.ts";
import {
  PEER_TIMEOUT_MS,
  type PeerClient,
  PeerRefusedError,
} from "../peers/mod.ts";
import { type OwnerCandidate, OwnerGateway } from "../routing/mod.ts";
import { DEADLINE_GRACE_MS, FORWARD_RETRY_MS } from "./constants.ts";
import type { EngineDriver } from "./engine_driver.ts";

/**
 * Calls owners: this entry directly, peers by JSON-RPC. A peer never forwards
 * work to a third entry.
 */
export class EntryGateway extends OwnerGateway {
  readonly #driver: EngineDriver;
  readonly #peers: PeerClient;
  readonly #clock: Clock;
  readonly #listCandidates: (now: number) => OwnerCandidate[];
  readonly #noteForwardedWork: (incarnation: string) => void;

  constructor(
    options: {
      driver: EngineDriver;
      peers: PeerClient;
      clock: Clock;
      listCandidates: (now: number) => OwnerCandidate[];
      noteForwardedWork: (incarnation: string) => void;
    },
  ) {
    super();
    this.#driver = options.driver;
    this.#peers = options.peers;
    this.#clock = options.clock;
    this.#listCandidates = options.listCandidates;
    this.#noteForwardedWork = options.noteForwardedWork;
  }

  override listCandidates(now: number): OwnerCandidate[] {
    return this.#listCandidates(now);
  }

  override async runAttempt(
    owner: OwnerCandidate,
    attempt: Attempt,
  ): Promise<Outcome> {
    if (owner.isSelf) return await this.#driver.runAttempt(attempt);
    this.#noteForwardedWork(owner.incarnation);
    try {
      return await this.#forward(owner, attempt);
    } catch (error) {
      return await this.#recover(owner, attempt, { error });
    }
  }

  override async cancelAttempt(
    owner: OwnerCandidate,
    attempt: { id: string; expires: number },
  ): Promise<void> {
    const params = { attempt: attempt.id, expires: attempt.expires };
    if (owner.isSelf) {
      this.#driver.handle({ type: EngineEventType.Cancel, ...params });
      return;
    }
    const { address } = owner;
    await this.#peers.call(
      "attempt.cancel",
      { target: owner.incarnation, ...params },
      { address, timeoutMs: PEER_TIMEOUT_MS },
    ).catch(() => null);
  }

  override async reserve(
    owner: OwnerCandidate,
    request: ReservationRequest,
  ): Promise<number> {
    if (owner.isSelf) return this.#driver.reserve(request);
    const { address } = owner;
    return await this.#peers.call(
      "gang.reserve",
      { target: owner.incarnation, request },
      { address, timeoutMs: PEER_TIMEOUT_MS },
    ).catch(() => 0);
  }

  override async release(owner: OwnerCandidate, hold: string): Promise<void> {
    if (owner.isSelf) {
      this.#driver.handle({ type: EngineEventType.ReleaseReservation, hold });
      return;
    }
    const { address } = owner;
    await this.#peers.call(
      "gang.release",
      { target: owner.incarnation, hold },
      { address, timeoutMs: PEER_TIMEOUT_MS },
    ).catch(() => null);
  }

  #forward(owner: OwnerCandidate, attempt: Attempt): Promise<Outcome> {
    const remainingMs = attempt.deadline - this.#clock.now() +
      DEADLINE_GRACE_MS;
    return this.#peers.call(
      "attempt.run",
      { target: owner.incarnation, attempt },
      { address: owner.address, timeoutMs: Math.max(1, remainingMs) },
    );
  }

  /**
   * Finds the outcome of an attempt after a call to forward it failed. If the
   * call was not sent, the attempt did not run. Otherwise only an answer of the
   * owner can prove that it did not run, so the same attempt is forwarded again
   * until its deadline. Forwarding again is idempotent: the owner identifies
   * the attempt by its id. A refusal means that the owner has restarted, so no
   * answer to the attempt will come.
   */
  async #recover(
    owner: OwnerCandidate,
    attempt: Attempt,
    options: { error: unknown },
  ): Promise<Outcome> {
    let { error } = options;
    if (error instanceof NotSentError) {
      return makeNotRunOutcome(
        Cause.EntryLost,
        "the owner could not be reached",
      );
    }
    while (!(error instanceof PeerRefusedError)) {
      if (this.#clock.now() >= attempt.deadline) {
        return await this.#settle(owner, attempt);
      }
      await this.#clock.sleep(FORWARD_RETRY_MS);
      try {
        return await this.#forward(owner, attempt);
      } catch (retryError) {
        error = retryError;
      }
    }
    const detail = "the owner restarted while it had the work";
    return makeMayHaveRunOutcome(Cause.EntryLost, detail);
  }

  async #settle(owner: OwnerCandidate, attempt: Attempt): Promise<Outcome> {
    const { address, incarnation } = owner;
    const expires = attempt.deadline;
    try {
      const outcome = await this.#peers.call(
        "attempt.settle",
        { target: incarnation, attempt: attempt.id, expires },
        { address, timeoutMs: DEADLINE_GRACE_MS },
      );
      if (outcome) return outcome;
    } catch {
      // Without an answer from the owner, the work may have run.
    }
    const detail = "the owner did not answer before the deadline";
    return makeMayHaveRunOutcome(Cause.EntryLost, detail);
  }
}
