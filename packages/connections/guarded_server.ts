import { createServer, type Server } from "node:http";
import { getRequestListener } from "@hono/node-server";
import type { ConnectionGuard } from "./connection_guard.ts";
import { SLOW_REQUEST_CHECK_MS } from "./constants.ts";
import type { ConnectionLimits } from "./types.ts";

/** Serves requests of the Fetch API. */
export type FetchHandler = Parameters<typeof getRequestListener>[0];

/**
 * Creates an HTTP server whose connections a guard bounds. A request without `Host` is
 * passed on like any other: the server itself would answer it past the guard.
 */
export function createGuardedServer(
  fetch: FetchHandler,
  options: {
    guard: ConnectionGuard;
    limits: ConnectionLimits;
    /** Time for which an idle connection stays open, in milliseconds. */
    idleMs: number;
  },
): Server {
  const { guard, limits, idleMs } = options;
  const server = createServer({
    requireHostHeader: false,
    keepAliveTimeout: idleMs,
    headersTimeout: Math.min(limits.headers_ms, limits.request_ms),
    requestTimeout: limits.request_ms,
    connectionsCheckingInterval: SLOW_REQUEST_CHECK_MS,
  });
  guard.watch(server, getRequestListener(fetch));
  return server;
}
