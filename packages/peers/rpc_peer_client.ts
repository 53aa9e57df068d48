import {
  JSONRPCClient,
  JSONRPCErrorException,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import { UnknownEffectError } from "../base/mod.ts";
import { HttpJsonClient } from "../platform/mod.ts";
import {
  NOT_OWNER_CODE,
  PEER_CONNECT_TIMEOUT_MS,
  RPC_PATH,
  WRONG_INCARNATION_CODE,
} from "./constants.ts";
import { PeerRefusedError } from "./errors.ts";
import { PeerClient } from "./peer_client.ts";
import type { PeerMethod, PeerMethods } from "./types.ts";

/** Maximum number of connections to one peer. */
const PEER_CONNECTIONS = 256;

interface CallTarget {
  address: string;
  timeoutMs: number;
  /**
   * Error of the HTTP call, stored here because the JSON-RPC client passes on
   * only the message of an error and not its class.
   */
  transportError?: unknown;
}

/** Calls peers by JSON-RPC 2.0 over HTTP keep-alive connections. */
export class RpcPeerClient extends PeerClient {
  readonly #http: HttpJsonClient;
  readonly #rpc: JSONRPCClient<CallTarget>;
  readonly #token: string;

  /** `token` is the secret that all entries share. */
  constructor(options: { token: string; localAddress?: string }) {
    super();
    this.#token = options.token;
    this.#http = new HttpJsonClient({
      connections: PEER_CONNECTIONS,
      connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
      localAddress: options.localAddress,
    });
    this.#rpc = new JSONRPCClient<CallTarget>(
      (request, target) => this.#send(request, target),
    );
  }

  override async call<M extends PeerMethod>(
    method: M,
    params: PeerMethods[M]["params"],
    options: { address: string; timeoutMs: number },
  ): Promise<PeerMethods[M]["result"]> {
    const target: CallTarget = { ...options };
    try {
      return await this.#rpc.request(method, params, target);
    } catch (error) {
      throw classifyRpcError(error, target);
    }
  }

  override async close(): Promise<void> {
    await this.#http.close();
  }

  async #send(
    request: JSONRPCRequest | JSONRPCRequest[],
    target: CallTarget,
  ): Promise<void> {
    try {
      const response = await this.#http.send({
        method: "POST",
        url: `http://${target.address}${RPC_PATH}`,
        body: request,
        headers: { authorization: `Bearer ${this.#token}` },
        timeoutMs: target.timeoutMs,
      }) as JSONRPCResponse;
      if (Array.isArray(request) || response?.id !== request.id) {
        throw new UnknownEffectError(
          "The id of the JSON-RPC response does not match the request",
        );
      }
      this.#rpc.receive(response);
    } catch (error) {
      target.transportError = error;
      throw error;
    }
  }
}

/** Error codes of calls that the peer refused before they had any effect. */
const REFUSAL_CODES = new Set([WRONG_INCARNATION_CODE, NOT_OWNER_CODE]);

function classifyRpcError(error: unknown, target: CallTarget): unknown {
  if (target.transportError) return target.transportError;
  if (!(error instanceof JSONRPCErrorException)) return error;
  if (REFUSAL_CODES.has(error.code)) {
    return new PeerRefusedError(error.message, error.code);
  }
  return new UnknownEffectError(error.message, { cause: error });
}
