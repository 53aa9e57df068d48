import type { PeerMethod, PeerMethods } from "./types.ts";

/** Calls to other entries. */
export abstract class PeerClient {
  /**
   * Calls a method of the entry at an address (`ip:port`).
   *
   * @throws {NotSentError} when the call certainly did not arrive
   * @throws {UnknownEffectError} when it may have arrived
   * @throws {PeerRefusedError} when the peer answered with an error
   */
  abstract call<M extends PeerMethod>(
    method: M,
    params: PeerMethods[M]["params"],
    options: { address: string; timeoutMs: number },
  ): Promise<PeerMethods[M]["result"]>;

  /** Frees the connections. */
  abstract close(): Promise<void>;
}
