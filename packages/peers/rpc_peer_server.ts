import { Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import {
  createJSONRPCErrorResponse,
  JSONRPCErrorCode,
  JSONRPCErrorException,
  JSONRPCServer,
} from "json-rpc-2.0";
import { computeHash } from "../base/mod.ts";
import { matchesHash } from "../config/mod.ts";
import { MAX_RPC_BYTES, RPC_PATH } from "./constants.ts";
import { PeerRefusedError } from "./errors.ts";
import type { PeerMethod, PeerMethods } from "./types.ts";

/** A handler for each JSON-RPC method. */
export type PeerHandlers = {
  [M in PeerMethod]: (
    params: PeerMethods[M]["params"],
  ) => Promise<PeerMethods[M]["result"]> | PeerMethods[M]["result"];
};

/**
 * Creates the HTTP application that serves calls from other entries. `token`
 * is the secret that all entries share.
 */
export function createPeerApp(handlers: PeerHandlers, token: string): Hono {
  const server = createRpcServer(handlers);
  const tokenHash = computeHash(token);
  const app = new Hono();
  app.post(RPC_PATH, bodyLimit({ maxSize: MAX_RPC_BYTES }), async (context) => {
    const [scheme, secret] = (context.req.header("authorization") ?? "").split(
      " ",
    );
    if (scheme !== "Bearer" || !matchesHash(secret ?? "", tokenHash)) {
      return context.json({ error: "unauthorized" }, 401);
    }
    const answer = await server.receiveJSON(await context.req.text());
    return answer === null
      ? context.body(null, 204)
      : context.json(JSON.parse(JSON.stringify(answer)));
  });
  return app;
}

function createRpcServer(handlers: PeerHandlers): JSONRPCServer {
  const server = new JSONRPCServer({ errorListener: () => {} });
  for (const [name, handler] of Object.entries(handlers)) {
    const callHandler = handler as (params: unknown) => unknown;
    server.addMethod(
      name,
      async (params: unknown) => await callHandler(params),
    );
  }
  server.mapErrorToJSONRPCErrorResponse = (id, error) => {
    const code = error instanceof PeerRefusedError
      ? error.code
      : error instanceof JSONRPCErrorException
      ? error.code
      : JSONRPCErrorCode.InternalError;
    return createJSONRPCErrorResponse(id, code, String(error?.message ?? ""));
  };
  return server;
}
