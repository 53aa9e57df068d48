import type { PeerMethod, PeerMethods } from "./types.ts";

/** Calls to other entries. */
export abstract class PeerClient {
  /**
   * Calls a method of the entry at an address (`ip:port`).
   *
   * @throws {NotSentError} if the call certainly did not arrive
   * @throws {UnknownEffectError} if the call may have taken effect
   * @throws {PeerRefusedError} if the peer refused the call
   */
  abstract call<M extends PeerMethod>(
    method: M,
    params: PeerMethods[M]["params"],
    options: { address: string; timeoutMs: number },
  ): Promise<PeerMethods[M]["result"]>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
