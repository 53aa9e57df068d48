import { Buffer } from "node:buffer";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Worker } from "node:worker_threads";
import test from "ava";
import { NotSentError, UnknownEffectError } from "../base/mod.ts";
import { HttpJsonClient } from "./mod.ts";

const TIMEOUT_MS = 150;

async function withServer(
  handler: RequestListener,
  run: (url: string, client: HttpJsonClient) => Promise<void>,
): Promise<void> {
  const server: Server = createServer(handler);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const client = new HttpJsonClient({ connections: 1, connectTimeoutMs: 500 });
  try {
    await run(`http://127.0.0.1:${port}/`, client);
  } finally {
    await client.close();
    server.closeAllConnections();
    server.close();
  }
}

function makeCall(url: string) {
  return { method: "POST" as const, url, body: {}, timeoutMs: TIMEOUT_MS };
}

test("a call without an answer times out and may have taken effect", async (t) => {
  await withServer(() => {}, async (url, client) => {
    const error = await t.throwsAsync(client.exchange(makeCall(url)));
    t.true(error instanceof UnknownEffectError);
  });
});

// Guards against VMs that share a host's default address: the policy service takes the calls
// of one address one after the other, so that the tasks of all entries wait for one queue.
test("calls leave from the configured address", async (t) => {
  const serveSource: RequestListener = ({ socket }, response) =>
    response.end(JSON.stringify(socket.remoteAddress));
  await withServer(serveSource, async (url) => {
    const client = new HttpJsonClient({
      connections: 1,
      connectTimeoutMs: 500,
      localAddress: "127.0.0.7",
    });
    const call = { ...makeCall(url), timeoutMs: 10_000 };
    const { body } = await client.exchange(call);
    await client.close();
    t.is(body, "127.0.0.7");
  });
});

test("a call whose answer stays incomplete times out", async (t) => {
  const servePartialAnswer: RequestListener = (_, response) => {
    response.writeHead(200, { "content-length": "100" });
    response.write('{"clock');
  };
  await withServer(servePartialAnswer, async (url, client) => {
    const error = await t.throwsAsync(client.exchange(makeCall(url)));
    t.true(error instanceof UnknownEffectError);
  });
});

// Guards against text of an endpoint, such as a checkpoint, that is altered and sent back.
test("an answer that is not UTF-8 has no body", async (t) => {
  const bodies = { utf8: ["ni\xf1o"], latin1: undefined };
  for (const encoding of ["utf8", "latin1"] as const) {
    const bytes = Buffer.from('["ni\xf1o"]', encoding);
    await withServer(
      (_, response) => response.writeHead(200).end(bytes),
      async (url, client) => {
        const call = { ...makeCall(url), timeoutMs: 10_000 };
        t.deepEqual((await client.exchange(call)).body, bodies[encoding]);
      },
    );
  }
});

test("a call that is queued behind an unanswered call times out too", async (t) => {
  await withServer(() => {}, async (url, client) => {
    const firstError = t.throwsAsync(client.exchange(makeCall(url)));
    const secondError = t.throwsAsync(client.exchange(makeCall(url)));
    t.true(await firstError instanceof UnknownEffectError);
    t.true(await secondError instanceof UnknownEffectError);
  });
});

test("a call that timed out in the queue is not sent later", async (t) => {
  let received = 0;
  const answerFirstLate: RequestListener = (_, response) => {
    received++;
    setTimeout(() => response.end("{}"), 2 * TIMEOUT_MS);
  };
  await withServer(answerFirstLate, async (url, client) => {
    const patient = { ...makeCall(url), timeoutMs: 10 * TIMEOUT_MS };
    const first = client.exchange(patient);
    await t.throwsAsync(client.exchange(makeCall(url)));
    t.is((await first).status, 200);
    t.is((await client.exchange(patient)).status, 200);
    t.is(received, 2);
  });
});

/** Answers every call at once, in a thread of its own. */
const ANSWERING_SERVER = `
const { createServer } = require("node:http");
const { parentPort } = require("node:worker_threads");
const server = createServer((_, response) => response.end("{}"));
server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

// An owner that was late took answers that had arrived for timeouts: it stopped gangs and
// set healthy endpoints aside.
test("an answer that has arrived counts, although the process was busy beyond the timeout", async (t) => {
  const worker = new Worker(ANSWERING_SERVER, { eval: true });
  t.teardown(() => worker.terminate());
  const port = await new Promise<number>((resolve) =>
    worker.once("message", resolve)
  );
  const client = new HttpJsonClient({ connections: 1, connectTimeoutMs: 500 });
  const url = `http://127.0.0.1:${port}/`;
  // Opens the connection.
  await client.exchange({ ...makeCall(url), timeoutMs: 5_000 });
  const answer = client.exchange(makeCall(url));
  await new Promise((resolve) => setImmediate(resolve));
  const busyUntil = performance.now() + 3 * TIMEOUT_MS;
  while (performance.now() < busyUntil);
  t.is((await answer).status, 200);
  await client.close();
});

test("a refused connection is reported as not sent", async (t) => {
  const client = new HttpJsonClient({ connections: 1, connectTimeoutMs: 500 });
  const error = await t.throwsAsync(
    client.exchange(makeCall("http://127.0.0.1:9/")),
  );
  t.true(error instanceof NotSentError);
  await client.close();
});
