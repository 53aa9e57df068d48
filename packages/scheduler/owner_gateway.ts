import { type Clock, NotSentError, UnknownEffectError } from "../base/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  type Link,
  type LinkHandlers,
  type LinkMethod,
  type LinkMethods,
  LinkRefusedError,
  openLink,
} from "../links/mod.ts";
import { LINK_RETRY_MS } from "./constants.ts";
import type { OwnerRecord } from "./types.ts";

/** Reaches the cell's owner: this entry itself, or another by a link. */
export class OwnerGateway {
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #entry: string;
  readonly #localAddress: string;
  readonly #handlers: LinkHandlers;
  #owner: OwnerRecord | undefined;
  #link: Link | undefined;
  #isSelf = false;
  #isLinking = false;
  #isStopped = false;
  /** Called when the owner's process is gone. */
  onOwnerGone: (owner: OwnerRecord) => void = () => {};
  /** Called when the owner does not answer. */
  onOwnerSilent: () => void = () => {};

  constructor(options: {
    clock: Clock;
    log: EventLog;
    entry: string;
    localAddress: string;
    /** Serve the owner's calls, and this entry's own when it is the owner. */
    handlers: LinkHandlers;
  }) {
    this.#clock = options.clock;
    this.#log = options.log;
    this.#entry = options.entry;
    this.#localAddress = options.localAddress;
    this.#handlers = options.handlers;
  }

  /** True when the owner can be asked. */
  get isLinked(): boolean {
    return this.#isSelf || this.#link?.isOpen === true;
  }

  /** The owner that this entry asks, if any. */
  get owner(): OwnerRecord | undefined {
    return this.#owner;
  }

  /** Turns to another owner, or to none. */
  setOwner(owner: OwnerRecord | undefined, isSelf: boolean): void {
    if (this.#owner?.incarnation === owner?.incarnation) {
      if (owner && !isSelf) void this.#openLink(owner);
      return;
    }
    this.#owner = owner;
    this.#isSelf = isSelf;
    this.#link?.close("another entry owns the cell");
    this.#link = undefined;
    if (owner && !isSelf) void this.#openLink(owner);
  }

  /**
   * Calls a method of the owner.
   *
   * @throws {NotSentError} when there is no owner to ask
   * @throws {UnknownEffectError} when no answer came in time
   */
  async call<M extends LinkMethod>(
    method: M,
    params: LinkMethods[M]["params"],
    options: { timeoutMs: number },
  ): Promise<LinkMethods[M]["result"]> {
    if (this.#isSelf) return await this.#callSelf(method, params, options);
    if (!this.#link?.isOpen) {
      throw new NotSentError("Cannot reach the owner: no link");
    }
    return await this.#link.call(method, params, options);
  }

  /** Closes the link. */
  close(): void {
    this.#isStopped = true;
    this.#link?.close("this entry stops");
  }

  async #callSelf<M extends LinkMethod>(
    method: M,
    params: LinkMethods[M]["params"],
    options: { timeoutMs: number },
  ): Promise<LinkMethods[M]["result"]> {
    let cancel = () => {};
    const expired = new Promise<never>((_, reject) => {
      const fail = () =>
        reject(new UnknownEffectError(`Cannot call ${method}: timed out`));
      cancel = this.#clock.schedule(fail, options.timeoutMs);
    });
    try {
      const answer = this.#handlers[method](params) as Promise<
        LinkMethods[M]["result"]
      >;
      return await Promise.race([answer, expired]);
    } finally {
      cancel();
    }
  }

  async #openLink(owner: OwnerRecord): Promise<void> {
    if (this.#isLinking || this.#link?.isOpen) return;
    this.#isLinking = true;
    while (!this.#isStopped && this.#owner === owner) {
      try {
        const link = await openLink(
          { host: owner.host, port: owner.port },
          {
            handlers: this.#handlers,
            clock: this.#clock,
            entry: this.#entry,
            localAddress: this.#localAddress,
          },
        );
        this.#adoptLink(link, owner);
        break;
      } catch (error) {
        this.#log.record(EventCode.OwnerLost, {
          owner: owner.entry,
          reason: String(error),
        });
        if (error instanceof LinkRefusedError) this.onOwnerGone(owner);
        else this.onOwnerSilent();
        await this.#clock.sleep(LINK_RETRY_MS);
      }
    }
    this.#isLinking = false;
    const next = this.#owner;
    if (next && next !== owner && !this.#isSelf) void this.#openLink(next);
  }

  #adoptLink(link: Link, owner: OwnerRecord): void {
    if (this.#owner !== owner || this.#isStopped) {
      return link.close("no longer needed");
    }
    this.#link = link;
    this.#log.record(EventCode.OwnerFollowed, {
      owner: owner.entry,
      term: owner.term,
    });
    link.onClosed = (reason) => {
      if (this.#link !== link) return;
      this.#link = undefined;
      this.#log.record(EventCode.OwnerLost, {
        owner: owner.entry,
        reason,
      });
      this.onOwnerSilent();
      if (this.#owner === owner && !this.#isStopped) void this.#openLink(owner);
    };
  }
}
