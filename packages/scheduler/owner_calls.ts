import { type Clock, NotSentError, UnknownEffectError } from "../base/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  LinkBusyError,
  type LinkMethod,
  type LinkMethods,
} from "../links/mod.ts";
import { CallTimes } from "./call_times.ts";
import {
  MAX_HELD_CALLS,
  OWNER_CALL_TIMEOUT_MS,
  OWNER_WAIT_MS,
  REPEAT_PAUSE_MS,
  SETTLE_WAIT_MS,
} from "./constants.ts";
import type { OwnerGateway } from "./owner_gateway.ts";
import type { OwnerRecord } from "./types.ts";

/** What one reply of the owner means for the call. */
export enum ReplyKind {
  /** The reply settles the call. */
  Final = "final",
  /** The call had no effect: the receiver does not own the cell, or not yet. */
  NotOwner = "not_owner",
  /** The call had no effect, and the owner refuses it. */
  Refused = "refused",
  /** The call may have had an effect. */
  Unknown = "unknown",
}

/** A call for a caller's request. Repeating it must change nothing. */
export interface RepeatableCall<M extends LinkMethod> {
  method: M;
  params: LinkMethods[M]["params"];
  /** The call has no effect on the owner, whatever happens to it. */
  isRead: boolean;
  classify: (reply: LinkMethods[M]["result"]) => ReplyKind;
  /** Time until the caller needs an answer, in milliseconds. */
  timeoutMs: number;
  /**
   * The first attempt is sent only if an answer is likely before `timeoutMs`: a call that
   * was not sent certainly had no effect, and its caller can go elsewhere in time.
   */
  mayRefuseLate?: boolean;
}

/** The dependencies of `OwnerCalls`. */
export interface OwnerCallsParts {
  gateway: OwnerGateway;
  clock: Clock;
  log: EventLog;
  /** Returns whether this entry reaches the store, so that it hears of owners. */
  canHearOfOwners: () => boolean;
}

/**
 * Returns whether a refusal by `refusing` proves that earlier attempts, sent to
 * the owners `unsettled`, had no effect. A later owner has read every record
 * that an earlier one could commit. The same process may still receive an
 * earlier attempt.
 */
export function isProofOfNoEffect(
  unsettled: readonly (OwnerRecord | undefined)[],
  refusing: OwnerRecord | undefined,
): boolean {
  return unsettled.every((owner) =>
    owner !== undefined && refusing !== undefined &&
    refusing.term > owner.term &&
    refusing.incarnation !== owner.incarnation
  );
}

/**
 * Calls the cell's owner for callers. Load: all callers at once during a change
 * of owner. A call that reaches no owner waits for the next one for at most
 * `OWNER_WAIT_MS`; a call whose answer is lost with its owner is repeated for at
 * most `SETTLE_WAIT_MS`, so that the caller learns its effect.
 */
export class OwnerCalls {
  readonly #parts: OwnerCallsParts;
  readonly #callTimes = new CallTimes();
  #heldCount = 0;
  #answerBy = Number.POSITIVE_INFINITY;

  constructor(parts: OwnerCallsParts) {
    this.#parts = parts;
  }

  /**
   * Ends all later calls by this time (steady clock, in ms): the process is about
   * to end, and each request that it has read needs an answer.
   */
  restrictCalls(answerBy: number): void {
    this.#answerBy = answerBy;
  }

  /**
   * Calls the owner until a reply settles the call or no time is left.
   *
   * @throws {NotSentError} when the call certainly had no effect
   * @throws {UnknownEffectError} when the call may have had an effect
   */
  async call<M extends LinkMethod>(
    call: RepeatableCall<M>,
  ): Promise<LinkMethods[M]["result"]> {
    const { clock, gateway } = this.#parts;
    const startedAt = clock.now();
    const giveUpAt = Math.min(startedAt + call.timeoutMs, this.#answerBy);
    const neededMs = call.mayRefuseLate
      ? this.#callTimes.predict(startedAt)
      : 0;
    const waitUntil = Math.min(giveUpAt - neededMs, startedAt + OWNER_WAIT_MS);
    const settleUntil = Math.min(giveUpAt, startedAt + SETTLE_WAIT_MS);
    /** Owners of the attempts whose effect is unknown. */
    const unsettled: (OwnerRecord | undefined)[] = [];
    let reason = "no owner is known";
    for (let attempt = 1;; attempt++) {
      const until = unsettled.length > 0 ? settleUntil : waitUntil;
      if (!await this.#waitForOwner(until, clock.now())) break;
      const { owner } = gateway;
      const timeoutMs = Math.min(OWNER_CALL_TIMEOUT_MS, giveUpAt - clock.now());
      if (timeoutMs <= 0) break;
      if (unsettled.length === 0 && timeoutMs < neededMs) {
        reason = `${Math.round(timeoutMs)} ms are left, and the owner takes ` +
          `up to ${Math.round(neededMs)} ms`;
        break;
      }
      const outcome = await this.#sendOnce(call, timeoutMs);
      reason = outcome.reason;
      if (outcome.kind === ReplyKind.Final) return outcome.reply!;
      if (outcome.kind === ReplyKind.Refused) {
        if (outcome.reply === undefined) break;
        if (isProofOfNoEffect(unsettled, owner)) return outcome.reply!;
        reason = "refused, but an earlier attempt may have had an effect";
        break;
      }
      if (outcome.kind === ReplyKind.Unknown) {
        unsettled.push(owner);
        // Without a reply, an owner that is still linked stalls: asking again
        // would only delay the answer that the effect is unknown.
        const isSameOwner = gateway.canReachOwner && gateway.owner === owner;
        if (outcome.reply === undefined && isSameOwner) break;
      }
      if (clock.now() >= (unsettled.length > 0 ? settleUntil : waitUntil)) {
        break;
      }
      this.#recordRepeat(call.method, { attempt, reason });
      await clock.sleep(REPEAT_PAUSE_MS);
    }
    if (unsettled.length > 0) throw new UnknownEffectError(reason);
    throw new NotSentError(reason);
  }

  /**
   * Sends the call once. An attempt without a reply throws nothing. A refusal without a
   * reply says nothing of earlier attempts.
   */
  async #sendOnce<M extends LinkMethod>(
    call: RepeatableCall<M>,
    timeoutMs: number,
  ): Promise<
    { kind: ReplyKind; reason: string; reply?: LinkMethods[M]["result"] }
  > {
    const { method, params } = call;
    const { clock } = this.#parts;
    const sentAt = clock.now();
    try {
      const reply = await this.#parts.gateway.call(method, params, {
        timeoutMs,
      });
      const kind = call.classify(reply);
      // Refusals and replies of entries that own nothing take less time.
      if (!call.isRead && kind === ReplyKind.Final) {
        const now = clock.now();
        this.#callTimes.observe(now - sentAt, now);
      }
      return {
        kind,
        reply,
        reason: `the entry that was asked answered ${kind}`,
      };
    } catch (error) {
      if (error instanceof LinkBusyError) {
        return { kind: ReplyKind.Refused, reason: error.message };
      }
      const hasNoEffect = call.isRead || error instanceof NotSentError;
      return {
        kind: hasNoEffect ? ReplyKind.NotOwner : ReplyKind.Unknown,
        reason: error instanceof Error ? error.message : String(error),
      };
    }
  }

  /** Waits for a reachable owner; returns whether there is one. */
  async #waitForOwner(until: number, now: number): Promise<boolean> {
    const { canHearOfOwners, gateway } = this.#parts;
    if (gateway.canReachOwner) return true;
    const mayWait = now < until && this.#heldCount < MAX_HELD_CALLS &&
      canHearOfOwners();
    if (!mayWait) return false;
    this.#heldCount++;
    try {
      return await gateway.waitUntilReachable(until - now);
    } finally {
      this.#heldCount--;
    }
  }

  #recordRepeat(
    method: string,
    { attempt, reason }: { attempt: number; reason: string },
  ): void {
    this.#parts.log.record(EventCode.CallRepeated, { method, attempt, reason });
  }
}
