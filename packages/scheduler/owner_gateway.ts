import { type Clock, NotSentError, UnknownEffectError } from "../base/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  type Link,
  type LinkHandlers,
  type LinkMethod,
  type LinkMethods,
  type LinkOpener,
  LinkRefusedError,
  openLink,
} from "../links/mod.ts";
import { LINK_RETRY_MS } from "./constants.ts";
import type { OwnerRecord } from "./types.ts";

/** Calls the cell's owner: over a link, or directly if it is this entry. */
export class OwnerGateway {
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #opener: LinkOpener;
  readonly #localAddress: string;
  readonly #handlers: LinkHandlers;
  readonly #isLocalOwnerReady: () => boolean;
  #owner: OwnerRecord | undefined;
  #link: Link | undefined;
  #isOwnerLocal = false;
  /** The owner behind the link has restored the cell, as far as is known. */
  #isOwnerReady = false;
  #isConnecting = false;
  #isUnreachable = false;
  #isStopped = false;
  readonly #waiting = new Set<() => void>();
  /** The owner said in its last reply that it reaches the store. */
  isOwnerAtStore = false;
  /** Called when nothing listens at the owner's address: its process ended. */
  onOwnerProcessGone: (owner: OwnerRecord) => void = () => {};
  /** Called when the owner cannot be reached or its link is closed. */
  onOwnerUnreachable: () => void = () => {};

  constructor(options: {
    clock: Clock;
    log: EventLog;
    opener: LinkOpener;
    localAddress: string;
    /**
     * Handlers of the calls that arrive on the link, and of this entry's own
     * calls while it is the owner.
     */
    handlers: LinkHandlers;
    /** Returns whether this entry, as the owner, serves callers. */
    isLocalOwnerReady: () => boolean;
  }) {
    this.#clock = options.clock;
    this.#log = options.log;
    this.#opener = options.opener;
    this.#localAddress = options.localAddress;
    this.#handlers = options.handlers;
    this.#isLocalOwnerReady = options.isLocalOwnerReady;
  }

  /** True while calls can be sent to an owner that serves callers. */
  get canReachOwner(): boolean {
    if (this.#isOwnerLocal) return this.#isLocalOwnerReady();
    return this.#link?.isOpen === true && this.#isOwnerReady;
  }

  /**
   * True while other entries can serve a request that this one can't for lack of the
   * store: the owner is connected, serves callers and reaches the store.
   */
  get canOthersServe(): boolean {
    return this.canReachOwner && !this.#isOwnerLocal && this.isOwnerAtStore;
  }

  /** True while the link to the owner is open, whether it serves callers or not. */
  get isLinked(): boolean {
    return this.#link?.isOpen === true;
  }

  /**
   * True while the owner cannot be reached: its link went silent, or none could be opened.
   * False while a first link is being opened.
   */
  get isOwnerUnreachable(): boolean {
    return this.#isUnreachable && !this.isLinked;
  }

  /** Notes whether the owner behind the link serves callers. */
  noteOwnerReady(isReady: boolean): void {
    this.#isOwnerReady = isReady;
    if (this.canReachOwner) this.releaseWaiting();
  }

  /** The owner that calls go to, if any. */
  get owner(): OwnerRecord | undefined {
    return this.#owner;
  }

  /** Sets the owner to call, if any; opens a link unless `isLocal` is true. */
  setOwner(owner: OwnerRecord | undefined, isLocal: boolean): void {
    if (this.#owner?.incarnation === owner?.incarnation) {
      if (owner && !isLocal) void this.#openLink(owner);
      return;
    }
    this.#owner = owner;
    this.#isOwnerLocal = isLocal;
    this.#link?.close("the owner of the cell has changed");
    this.#link = undefined;
    this.#isOwnerReady = false;
    this.#isUnreachable = false;
    this.isOwnerAtStore = false;
    if (this.canReachOwner) this.releaseWaiting();
    if (owner && !isLocal) void this.#openLink(owner);
  }

  /** Waits until calls can be sent; returns false if that takes too long. */
  async waitUntilReachable(timeoutMs: number): Promise<boolean> {
    if (this.canReachOwner) return true;
    await new Promise<void>((resolve) => {
      const release = () => {
        cancelTimeout();
        this.#waiting.delete(release);
        resolve();
      };
      const cancelTimeout = this.#clock.schedule(release, timeoutMs);
      this.#waiting.add(release);
    });
    return this.canReachOwner;
  }

  /**
   * Calls a method of the owner.
   *
   * @throws {NotSentError} when no owner is reachable
   * @throws {UnknownEffectError} when the call times out or the link fails
   */
  async call<M extends LinkMethod>(
    method: M,
    params: LinkMethods[M]["params"],
    options: { timeoutMs: number },
  ): Promise<LinkMethods[M]["result"]> {
    if (this.#isOwnerLocal) {
      return await this.#callLocalOwner(method, params, options);
    }
    if (!this.#link?.isOpen) {
      throw new NotSentError("Cannot reach the owner: no link");
    }
    return await this.#link.call(method, params, options);
  }

  /** Closes the link; no further link is opened. */
  close(): void {
    this.#isStopped = true;
    this.#link?.close("this entry stops");
  }

  async #callLocalOwner<M extends LinkMethod>(
    method: M,
    params: LinkMethods[M]["params"],
    options: { timeoutMs: number },
  ): Promise<LinkMethods[M]["result"]> {
    let cancelTimeout = () => {};
    const timeout = new Promise<never>((_, reject) => {
      const fail = () =>
        reject(new UnknownEffectError(`Cannot call ${method}: timed out`));
      cancelTimeout = this.#clock.schedule(fail, options.timeoutMs);
    });
    try {
      const answer = this.#handlers[method](params) as Promise<
        LinkMethods[M]["result"]
      >;
      return await Promise.race([answer, timeout]);
    } finally {
      cancelTimeout();
    }
  }

  /** Lets calls go on that wait for an owner that serves callers. */
  releaseWaiting(): void {
    for (const release of [...this.#waiting]) release();
  }

  async #openLink(owner: OwnerRecord): Promise<void> {
    if (this.#isConnecting || this.#link?.isOpen) return;
    this.#isConnecting = true;
    while (!this.#isStopped && this.#owner === owner) {
      try {
        const link = await openLink(
          { host: owner.host, port: owner.port },
          {
            handlers: this.#handlers,
            clock: this.#clock,
            opener: this.#opener,
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
        this.#isUnreachable = this.#owner === owner;
        if (error instanceof LinkRefusedError) this.onOwnerProcessGone(owner);
        else this.onOwnerUnreachable();
        await this.#clock.sleep(LINK_RETRY_MS);
      }
    }
    this.#isConnecting = false;
    const nextOwner = this.#owner;
    if (nextOwner && nextOwner !== owner && !this.#isOwnerLocal) {
      void this.#openLink(nextOwner);
    }
  }

  #adoptLink(link: Link, owner: OwnerRecord): void {
    if (this.#owner !== owner || this.#isStopped) {
      return link.close("the owner changed while the link was opened");
    }
    this.#link = link;
    this.#isUnreachable = false;
    if (this.canReachOwner) this.releaseWaiting();
    this.#log.record(EventCode.OwnerFollowed, {
      owner: owner.entry,
      term: owner.term,
    });
    link.onClosed = (reason) => {
      if (this.#link !== link) return;
      this.#link = undefined;
      this.#isUnreachable = link.hasTimedOut;
      this.#log.record(EventCode.OwnerLost, {
        owner: owner.entry,
        reason,
      });
      this.onOwnerUnreachable();
      if (this.#owner === owner && !this.#isStopped) void this.#openLink(owner);
    };
  }
}
