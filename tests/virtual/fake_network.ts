import {
  NotSentError,
  type Random,
  UnknownEffectError,
} from "../../packages/base/mod.ts";
import {
  PeerClient,
  type PeerHandlers,
  type PeerMethod,
  type PeerMethods,
  PeerRefusedError,
} from "../../packages/peers/mod.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Process that serves calls at an address. */
export interface Listener {
  processId: string;
  domain: string;
  handlers: PeerHandlers;
}

/**
 * Network between processes. Delays and duplicates calls, loses answers and
 * partitions failure domains.
 */
export class FakeNetwork {
  readonly time: VirtualTime;
  readonly random: Random;
  /** Processes that serve calls, by address. */
  readonly listeners = new Map<string, Listener>();
  /** Pairs of failure domains, as `"a b"`, that cannot reach each other. */
  readonly partitions = new Set<string>();
  /** Share of calls that arrive twice, from 0 to 1. */
  duplicateRate = 0;
  /** Share of answers that are lost, from 0 to 1. */
  lostAnswerRate = 0;
  /** Functions that fail the pending calls, by the process called. */
  readonly #pendingCalls = new Map<string, Set<(error: Error) => void>>();

  constructor(time: VirtualTime, random: Random) {
    this.time = time;
    this.random = random;
  }

  /** Tells whether two failure domains cannot reach each other. */
  isPartitioned(a: string, b: string): boolean {
    return a !== b &&
      (this.partitions.has(`${a} ${b}`) || this.partitions.has(`${b} ${a}`));
  }

  /** Fails the pending calls to a process that was killed. */
  resetConnections(processId: string): void {
    for (const fail of this.#pendingCalls.get(processId) ?? []) {
      fail(new UnknownEffectError("connection reset"));
    }
    this.#pendingCalls.delete(processId);
  }

  /** Sends a call and returns its result. */
  call(
    caller: { processId: string; domain: string },
    message: {
      method: PeerMethod;
      params: unknown;
      address: string;
      timeoutMs: number;
    },
  ): Promise<unknown> {
    const { time } = this;
    const target = this.listeners.get(message.address);
    return new Promise((resolve, reject) => {
      const scheduleForCaller = (ms: number, run: () => void) =>
        time.schedule(caller.processId, ms, run);
      if (!target || time.isKilled(target.processId)) {
        scheduleForCaller(
          1,
          () => reject(new NotSentError("connection refused")),
        );
        return;
      }
      if (this.isPartitioned(caller.domain, target.domain)) {
        scheduleForCaller(
          1_000,
          () => reject(new NotSentError("connect timeout")),
        );
        return;
      }
      const fail = (error: Error) => scheduleForCaller(1, () => reject(error));
      const pending = this.#pendingCalls.get(target.processId) ?? new Set();
      this.#pendingCalls.set(target.processId, pending.add(fail));
      scheduleForCaller(message.timeoutMs, () => {
        pending.delete(fail);
        reject(new UnknownEffectError("timeout"));
      });
      const copies = this.random.drawFloat() < this.duplicateRate ? 2 : 1;
      for (let copy = 0; copy < copies; copy++) {
        this.#deliver(caller, { target, message, resolve, reject });
      }
    });
  }

  /** Delivers one copy of a call and sends its answer back. */
  #deliver(
    caller: { processId: string; domain: string },
    delivery: {
      target: Listener;
      message: { method: PeerMethod; params: unknown };
      resolve: (value: unknown) => void;
      reject: (error: Error) => void;
    },
  ): void {
    const { target, message, resolve, reject } = delivery;
    const delay = 1 + this.random.drawInt(10);
    this.time.schedule(target.processId, delay, () => {
      const handle = target.handlers[message.method] as (
        params: unknown,
      ) => unknown;
      const sendAnswer = (deliverAnswer: () => void) => {
        const isLost = this.random.drawFloat() < this.lostAnswerRate;
        if (isLost || this.isPartitioned(caller.domain, target.domain)) return;
        this.time.schedule(
          caller.processId,
          1 + this.random.drawInt(10),
          deliverAnswer,
        );
      };
      Promise.resolve()
        .then(() => handle(structuredClone(message.params)))
        .then(
          (result) => {
            const copy = structuredClone(result);
            sendAnswer(() => resolve(copy));
          },
          (error) => {
            const rejection = error instanceof PeerRefusedError
              ? error
              : new UnknownEffectError(String(error));
            sendAnswer(() => reject(rejection));
          },
        );
    });
  }
}

/** Client of one process for calls to its peers. */
export class FakePeerClient extends PeerClient {
  readonly #network: FakeNetwork;
  readonly #caller: { processId: string; domain: string };

  constructor(
    network: FakeNetwork,
    caller: { processId: string; domain: string },
  ) {
    super();
    this.#network = network;
    this.#caller = caller;
  }

  override async call<M extends PeerMethod>(
    method: M,
    params: PeerMethods[M]["params"],
    options: { address: string; timeoutMs: number },
  ): Promise<PeerMethods[M]["result"]> {
    const message = { method, params: structuredClone(params), ...options };
    return await this.#network.call(
      this.#caller,
      message,
    ) as PeerMethods[M]["result"];
  }

  override async close(): Promise<void> {}
}
