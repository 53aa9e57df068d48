import { connect as connectSocket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { MonotonicClock, UnknownEffectError } from "../base/mod.ts";
import {
  type HeartbeatReply,
  LinkBusyError,
  type LinkHandlers,
  LinkServer,
  MAX_LINE_LENGTH,
  openLink,
} from "./mod.ts";

const HOST = "127.54.0.1";
const clock = new MonotonicClock();

/** Opens a link that sends `heartbeat` to a new server; returns both. */
async function connect(
  port: number,
  options: { heartbeat: object; reply: unknown; error?: Error },
) {
  const handlers = {
    "link.heartbeat": () => options.reply,
    "job.find": () => Promise.reject(options.error),
  } as unknown as LinkHandlers;
  const server = new LinkServer({ handlers, clock });
  await server.listen({ host: HOST, port });
  const replies: HeartbeatReply[] = [];
  const link = await openLink({ host: HOST, port }, {
    handlers,
    clock,
    localAddress: HOST,
    opener: {
      makeHeartbeat: () => ({ entry: "e1", ...options.heartbeat }),
      onReply: (reply) => replies.push(reply),
    },
  });
  return { server, link, replies };
}

/** Longest wait for an event that must come, on a machine under load, in ms. */
const MAX_WAIT_MS = 10_000;

/** Waits until a condition holds, at most `maxMs`; returns whether it holds. */
async function waitUntil(
  condition: () => boolean,
  maxMs = MAX_WAIT_MS,
): Promise<boolean> {
  const giveUpAt = Date.now() + maxMs;
  while (!condition() && Date.now() < giveUpAt) await sleep(10);
  return condition();
}

test("an owner counts the speed of linked entries that can claim the cell", async (t) => {
  const heartbeat = { cores: 1.35 };
  const reply = { largestCores: 2, isReady: false };
  const site = await connect(7_301, { heartbeat, reply });
  t.is(site.server.largestPeerCores, 1.35);
  t.deepEqual(site.replies, [reply]);
  heartbeat.cores = 0;
  await site.link.sendHeartbeat();
  t.is(site.server.largestPeerCores, 0);
  site.link.close("test");
  site.server.close();
});

test("entries of an earlier version, or with a malformed speed, count as not known", async (t) => {
  for (
    const [n, heartbeat] of [{}, { cores: "x" }, { cores: null }].entries()
  ) {
    const site = await connect(7_302 + n, { heartbeat, reply: true });
    t.is(site.server.largestPeerCores, 0);
    const [{ largestCores = 0, isReady = true }] = site.replies;
    t.is(largestCores, 0);
    t.true(isReady);
    site.link.close("test");
    site.server.close();
  }
});

test("a call that the peer has no room for is told from one that may have run", async (t) => {
  const outcomes = [
    { error: new LinkBusyError("no room"), instanceOf: LinkBusyError },
    { error: new Error("failed"), instanceOf: UnknownEffectError },
  ];
  for (const [n, { error, instanceOf }] of outcomes.entries()) {
    const options = { heartbeat: {}, reply: true, error };
    const { link, server } = await connect(7_330 + n, options);
    const params = { id: "1", organisation: "" };
    const find = () => link.call("job.find", params, { timeoutMs: 5_000 });
    await t.throwsAsync(find, { instanceOf });
    link.close("test");
    server.close();
  }
});

// Guards against a malformed message that ends the process or that leaves the link
// of its sender open; an unhandled rejection would fail this file.
test("malformed messages end at most the link on which they came", async (t) => {
  const site = await connect(7_306, { heartbeat: {}, reply: true });
  t.teardown(() => site.server.close());
  const messages = [
    "",
    "garbage",
    "null",
    "5",
    '"x"',
    "[]",
    "[null]",
    "{}",
    '{"jsonrpc":"2.0","id":1}',
    '{"jsonrpc":"2.0","id":null,"result":5}',
    '{"jsonrpc":"2.0","id":1,"result":5}',
    '{"jsonrpc":"2.0","id":1,"error":null}',
    '{"jsonrpc":"2.0","id":1,"method":5}',
    '{"jsonrpc":"2.0","id":1,"method":"no.method"}',
    '{"jsonrpc":"2.0","id":1,"method":"link.heartbeat"}',
    '{"jsonrpc":"2.0","method":"link.heartbeat","params":null}',
    '{"jsonrpc":"2.0","method":"link.heartbeat","params":{"entry":5}}',
    '{"jsonrpc":"2.0","id":1,"method":"link.heartbeat","params":{"entry":{}}}',
  ];
  for (const message of messages) {
    const socket = connectSocket({ host: HOST, port: 7_306 });
    socket.on("error", () => {});
    socket.write(`${message}\n`);
    await sleep(20);
    t.true(site.link.isOpen, message);
    const names = site.server.listIdentified().map(({ peer }) => peer);
    t.deepEqual(names, ["e1"], message);
    socket.destroy();
  }
  await t.notThrowsAsync(site.link.sendHeartbeat());
  site.link.close("test");
});

// Guards against a link that stays open although its opener was told that opening
// failed: the owner would count the entry as reachable.
test("a link whose first heartbeat fails is closed", async (t) => {
  const port = 7_307;
  const handlers = {
    "link.heartbeat": () => {
      throw new Error("test");
    },
  } as unknown as LinkHandlers;
  const server = new LinkServer({ handlers, clock });
  t.teardown(() => server.close());
  await server.listen({ host: HOST, port });
  await t.throwsAsync(
    openLink({ host: HOST, port }, {
      handlers,
      clock,
      localAddress: HOST,
      opener: { makeHeartbeat: () => ({ entry: "e1" }), onReply: () => {} },
    }),
    { instanceOf: UnknownEffectError },
  );
  t.true(await waitUntil(() => server.links.size === 0));
});

// Guards against a link that is closed because several short lines arrive at once,
// and against a buffer that grows without a limit.
test("the limit on the length of a line counts each line by itself", async (t) => {
  const port = 7_308;
  const site = await connect(port, { heartbeat: {}, reply: true });
  t.teardown(() => site.server.close());
  const makeLine = (length: number) => {
    const start = '{"jsonrpc":"2.0","method":"owner.ready","params":"';
    return `${start.padEnd(length - 2, "x")}"}\n`;
  };
  const isClosedAfter = async (lineLengths: number[], waitMs: number) => {
    const socket = connectSocket({ host: HOST, port });
    // The server may reset the connection, which then closes as well.
    socket.on("error", () => {});
    let isClosed = false;
    socket.on("close", () => isClosed = true);
    socket.write(lineLengths.map(makeLine).join(""));
    await waitUntil(() => isClosed, waitMs);
    socket.destroy();
    return isClosed;
  };
  t.false(await isClosedAfter([MAX_LINE_LENGTH, 1_000, 1_000], 300));
  t.true(await isClosedAfter([MAX_LINE_LENGTH + 1], MAX_WAIT_MS));
  t.true(
    await isClosedAfter([1_000, MAX_LINE_LENGTH + 1, 1_000], MAX_WAIT_MS),
  );
  site.link.close("test");
});
