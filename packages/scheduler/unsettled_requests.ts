import { NotSentError } from "../base/mod.ts";
import { MAX_UNSETTLED_REQUESTS, UNSETTLED_RETENTION_MS } from "./constants.ts";

/**
 * The callers' submissions that may have had an effect as far as this entry
 * knows: under way, or answered as unknown. Callers repeat them, so a repeated
 * one must not be refused as "not run" without asking an owner. Other entries do
 * not know of them.
 */
export class UnsettledRequests {
  /** When each request is forgotten (steady clock, in ms), oldest first. */
  readonly #expiresAt = new Map<string, number>();
  /** Number of calls under way for each request, which may be submitted twice. */
  readonly #underWay = new Map<string, number>();

  /** Returns whether a request may have had an effect. */
  has(key: string, now: number): boolean {
    return this.#underWay.has(key) || (this.#expiresAt.get(key) ?? 0) > now;
  }

  /**
   * Makes a call for a request, which counts as unsettled until `isSettled`
   * returns true for a reply.
   *
   * @throws what the call throws; after a `NotSentError` the request counts as
   * it did before, whatever other calls for it do meanwhile
   */
  async observe<T>(
    key: string,
    options: {
      now: number;
      call: () => Promise<T>;
      isSettled: (reply: T) => boolean;
    },
  ): Promise<T> {
    const { now, call, isSettled } = options;
    this.#underWay.set(key, (this.#underWay.get(key) ?? 0) + 1);
    try {
      const reply = await call();
      if (isSettled(reply)) this.#expiresAt.delete(key);
      else this.#add(key, now);
      return reply;
    } catch (error) {
      if (!(error instanceof NotSentError)) this.#add(key, now);
      throw error;
    } finally {
      const othersUnderWay = (this.#underWay.get(key) ?? 1) - 1;
      if (othersUnderWay > 0) this.#underWay.set(key, othersUnderWay);
      else this.#underWay.delete(key);
    }
  }

  #add(key: string, now: number): void {
    this.#expiresAt.delete(key);
    this.#expiresAt.set(key, now + UNSETTLED_RETENTION_MS);
    for (const [oldKey, expiresAt] of this.#expiresAt) {
      const isFull = this.#expiresAt.size > MAX_UNSETTLED_REQUESTS;
      if (expiresAt > now && !isFull) return;
      this.#expiresAt.delete(oldKey);
    }
  }
}
