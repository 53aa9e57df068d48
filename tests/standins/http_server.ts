import { Buffer } from "node:buffer";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";

/** Answers one request to a stand-in; `body` is the whole request body. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => Promise<void> | void;

/** Starts an HTTP server and resolves once it accepts connections. */
export function listen(
  address: { host: string; port: number },
  handler: Handler,
): Promise<Server> {
  const server = createServer((request, response) => {
    let body = "";
    request.setEncoding("utf8");
    request.on("data", (chunk) => body += chunk);
    request.on("error", () => response.destroy());
    request.on("end", () => void handler(request, response, body));
  });
  server.keepAliveTimeout = 65_000;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, 1_024, () => resolve(server));
  });
}

/** Sends a JSON answer with a `content-length` header; status 200 by default. */
export function sendJson(
  response: ServerResponse,
  value: unknown,
  options: { status?: number; headers?: Record<string, string> } = {},
): void {
  const text = JSON.stringify(value);
  response.writeHead(options.status ?? 200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...options.headers,
  });
  response.end(text);
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
