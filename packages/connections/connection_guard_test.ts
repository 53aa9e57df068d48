import type { AddressInfo } from "node:net";
import { connect, type Socket } from "node:net";
import { text } from "node:stream/consumers";
import test, { type ExecutionContext } from "ava";
import { MonotonicClock } from "../base/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { ConnectionGuard } from "./connection_guard.ts";
import { DEFAULT_CONNECTION_LIMITS } from "./constants.ts";
import { createGuardedServer } from "./guarded_server.ts";
import {
  type ConnectionLimits,
  type RefusalAnswer,
  RefusalFormat,
  type RefusedRequest,
} from "./types.ts";

class PlainRefusals extends RefusalFormat {
  override renderRefusal({ limit }: RefusedRequest): RefusalAnswer {
    return { status: 503, headers: {}, body: { limit } };
  }
}

interface Served {
  port: number;
  guard: ConnectionGuard;
  /** Paths of the requests that were passed on. */
  paths: string[];
  /** Answers the requests to `/held`. */
  release: () => void;
  metrics: Metrics;
}

/** Serves requests under limits: `/held` waits, others are answered at once. */
async function serve(
  t: ExecutionContext,
  limits: Partial<ConnectionLimits> = {},
): Promise<Served> {
  const paths: string[] = [];
  let release = () => {};
  const held = new Promise<void>((resolve) => release = resolve);
  const metrics = new Metrics();
  const allLimits = { ...DEFAULT_CONNECTION_LIMITS, ...limits };
  const guard = new ConnectionGuard({
    name: "callers",
    limits: allLimits,
    getBodyAllowance: () => ({ bytes: 100, isTrusted: false }),
    refusals: new PlainRefusals(),
    clock: new MonotonicClock(),
    log: new SilentEventLog(),
    metrics,
  });
  const server = createGuardedServer(async (request) => {
    const { pathname } = new URL(request.url);
    paths.push(pathname);
    if (pathname === "/held") await held;
    return new Response(`${pathname} ${await request.text()}`);
  }, { guard, limits: allLimits, idleMs: 5_000 });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => {
    server.close();
    guard.close();
  });
  const { port } = server.address() as AddressInfo;
  return { port, guard, paths, release, metrics };
}

function open({ port }: Served): Socket {
  return connect({ host: "127.0.0.1", port }).on("error", () => {});
}

/** Sends texts on one connection, and returns what was answered until its end. */
async function exchange(served: Served, ...texts: string[]): Promise<string> {
  const socket = open(served);
  for (const part of texts) socket.write(part);
  return await text(socket);
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  const until = Date.now() + 10_000;
  while (!isMet() && Date.now() < until) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

function get(path: string, rest = ""): string {
  return `GET ${path} HTTP/1.1\r\nhost: a\r\n${rest}\r\n`;
}

const LAST = "connection: close\r\n";

test("requests that are sent ahead are answered in their order", async (t) => {
  const served = await serve(t, { requests_per_connection: 2 });
  const paths = Array.from({ length: 200 }, (_, n) => `/${n}`);
  const requests = paths.map((path) => get(path)).join("");
  const answers = await exchange(served, requests, get("/end", LAST));
  t.deepEqual(served.paths, [...paths, "/end"]);
  t.deepEqual(
    [...answers.matchAll(/^(\/\w+) (?:HTTP|$)/gm)].map(([, path]) => path),
    [...paths, "/end"],
  );
});

test("a connection with many open requests is read no further", async (t) => {
  const limits = { requests_per_connection: 3 };
  const served = await serve(t, limits);
  const socket = open(served);
  socket.write(get("/held").repeat(10_000));
  await waitUntil(() => served.guard.requestCount >= 3);
  await new Promise((resolve) => setTimeout(resolve, 100));
  // What one slice holds may be parsed at once.
  t.true(served.paths.length < 100, `${served.paths.length} requests`);
  const other = await exchange(served, get("/other", LAST));
  t.regex(other, /200 OK[^]*\/other/);
  served.release();
  socket.destroy();
});

test("a body arrives whole, in one piece or in chunks", async (t) => {
  const served = await serve(t);
  const head = "POST /a HTTP/1.1\r\nhost: a\r\n";
  const whole = `${head}${LAST}content-length: 5\r\n\r\n`;
  t.regex(await exchange(served, whole, "hello"), /\/a hello$/);
  const chunked = `${head}${LAST}transfer-encoding: chunked\r\n\r\n`;
  const answer = await exchange(
    served,
    chunked,
    "2\r\nhe\r\n3\r\n",
    "llo\r\n0\r\n\r\n",
  );
  t.regex(answer, /\/a hello/);
  const expecting =
    `${head}${LAST}expect: 100-continue\r\ncontent-length: 5\r\n\r\n`;
  t.regex(
    await exchange(served, expecting, "hello"),
    /100 Continue[^]*\/a hello$/,
  );
});

const REFUSED: [string, Partial<ConnectionLimits>, string, string][] = [
  [
    "an announced body that is too large",
    {},
    "content-length: 101\r\n\r\n",
    "body_bytes",
  ],
  [
    "chunks that are too large",
    {},
    `transfer-encoding: chunked\r\n\r\n65\r\n${"x".repeat(101)}\r\n0\r\n\r\n`,
    "body_bytes",
  ],
  [
    "too many chunks",
    { body_chunks: 3 },
    `transfer-encoding: chunked\r\n\r\n${"1\r\nx\r\n".repeat(4)}0\r\n\r\n`,
    "body_chunks",
  ],
  ["an unknown expectation", {}, "expect: more\r\n\r\n", "expectation"],
];
for (const [name, limits, rest, limit] of REFUSED) {
  test(`${name} is refused, and the connection is closed`, async (t) => {
    const served = await serve(t, limits);
    const answer = await exchange(
      served,
      `POST /a HTTP/1.1\r\nhost: a\r\n${rest}`,
      get("/next"),
    );
    t.regex(answer, new RegExp(`503[^]*connection: close[^]*"${limit}"`));
    t.deepEqual(served.paths, []);
    t.regex(await served.metrics.renderText(), new RegExp(`limit="${limit}"`));
  });
}

test("requests beyond those in process are refused at once", async (t) => {
  const served = await serve(t, { requests: 2 });
  const sockets = [open(served), open(served)];
  for (const socket of sockets) socket.write(get("/held"));
  await waitUntil(() => served.guard.requestCount === 2);
  t.regex(await exchange(served, get("/other")), /503[^]*"requests"/);
  served.release();
  await waitUntil(() => served.guard.requestCount === 0);
  t.regex(await exchange(served, get("/other", LAST)), /200 OK/);
  for (const socket of sockets) socket.destroy();
});

// Guards against a crowd that sends ahead and takes the room of ordinary callers.
test("callers that send ahead leave room for those that do not", async (t) => {
  const served = await serve(t, { requests: 400, requests_per_connection: 16 });
  const crowd = Array.from({ length: 100 }, () => open(served));
  for (const socket of crowd) {
    socket.write(get("/held", `x: ${"x".repeat(400)}\r\n`).repeat(50));
  }
  await waitUntil(() => served.guard.requestCount >= 200);
  await new Promise((resolve) => setTimeout(resolve, 200));
  t.true(served.guard.requestCount < 400, `${served.guard.requestCount}`);
  t.regex(await exchange(served, get("/other", LAST)), /200 OK/);
  served.release();
  for (const socket of crowd) socket.destroy();
});

test("a request whose caller has left counts until it is done", async (t) => {
  const served = await serve(t, { requests: 1 });
  const socket = open(served);
  socket.write(get("/held"));
  await waitUntil(() => served.guard.requestCount === 1);
  socket.destroy();
  await waitUntil(() => served.guard.describe().connections === 0);
  t.is(served.guard.requestCount, 1);
  served.release();
  await waitUntil(() => served.guard.requestCount === 0);
  t.is(served.guard.describe().requestBytes, 0);
});

test("a new connection replaces the oldest without a request", async (t) => {
  const served = await serve(t, { connections: 2 });
  const waiting = open(served);
  waiting.write(get("/held"));
  await waitUntil(() => served.guard.requestCount === 1);
  const silent = open(served);
  const isClosed = new Promise((resolve) => silent.once("close", resolve));
  silent.write("GET / HTTP/1.1\r\n");
  await waitUntil(() => served.guard.describe().connections === 2);
  t.regex(await exchange(served, get("/other", LAST)), /200 OK/);
  await isClosed;
  served.release();
  t.regex(await text(waiting.end()), /200 OK/);
});

test("the largest incomplete request makes room for others", async (t) => {
  const served = await serve(t, { request_bytes: 120 });
  const large = open(served);
  const isClosed = new Promise((resolve) => large.once("close", resolve));
  const head = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n";
  large.write(`${head}${"x".repeat(90)}`);
  await waitUntil(() => served.guard.describe().requestBytes >= 90);
  const other = open(served);
  other.write(`${head}${"x".repeat(50)}`);
  await isClosed;
  other.write("x".repeat(50));
  await waitUntil(() => served.paths.length === 1);
  t.deepEqual(served.paths, ["/a"]);
  other.destroy();
});

test("a connection that reads no answers is closed", async (t) => {
  const served = await serve(t, { answer_ms: 1 });
  const socket = open(served);
  socket.pause();
  socket.write(get(`/${"x".repeat(10_000)}`).repeat(2_000));
  await waitUntil(() => served.guard.describe().connections === 1);
  await waitUntil(() => served.guard.describe().connections === 0);
  t.is(served.guard.describe().connections, 0);
  t.is(served.guard.describe().requestBytes, 0);
});
