import test from "ava";
import type { AddressInfo } from "node:net";
import { UnknownEffectError } from "../../packages/base/mod.ts";
import { PollResult } from "../../packages/scheduler/mod.ts";
import { PlatformEndpoints } from "../../platform/endpoint_control.ts";
import { PlatformRecords } from "../../platform/site_records.ts";
import { listen, sendJson } from "../standins/http_server.ts";

const BORN_AT = 1_787_785_801_101;
const BAD_STARTS = [undefined, null, 0, -1, "1787785801101", 1.5, 1e300];

/** Polls an endpoint that answers with `answer`. */
async function pollEndpoint(answer: unknown) {
  const server = await listen(
    { host: "127.0.0.1", port: 0 },
    (_request, response) => sendJson(response, answer),
  );
  const { port } = server.address() as AddressInfo;
  const control = new PlatformEndpoints({ localAddress: "127.0.0.1" });
  try {
    return await control.poll(
      { id: "i-1", address: `127.0.0.1:${port}`, bornAt: 0 },
      { fence: 1, acknowledgedEnd: 0, waitMs: 0 },
      { timeoutMs: 1_000 },
    );
  } finally {
    await control.close();
    server.closeAllConnections();
    server.close();
  }
}

// Guards against lists of runs that are taken to be of the known lifetime, or are
// ignored while leases are renewed, because they do not say when the lifetime began.
test("a list of runs that does not say when the endpoint started is no answer", async (t) => {
  const list = { clock_ms: 5, running: [], ended: [] };
  const answer = await pollEndpoint({ ...list, born: BORN_AT });
  t.is(answer.kind, PollResult.Listed);
  for (const born of BAD_STARTS) {
    await t.throwsAsync(pollEndpoint({ ...list, born }), {
      instanceOf: UnknownEffectError,
    }, `born ${JSON.stringify(born)}`);
  }
});

// Guards against an owner that ends because it measures what is not a text.
test("a checkpoint that is not a text counts as none", async (t) => {
  const answer = await pollEndpoint({
    clock_ms: 5,
    born: BORN_AT,
    running: [["a.0.0.0", 1, 7, 10], ["a.0.0.1", 1, "s", 10]],
    ended: [[1, "a.0.0.2", 1, "done", { s: 1 }], [2, "a.0.0.3", 1, "done"]],
  });
  if (answer.kind !== PollResult.Listed) return t.fail();
  const { running, ended } = answer.listing;
  const checkpoints = [...running, ...ended].map(({ saved }) => saved);
  t.deepEqual(checkpoints, ["", "s", "", ""]);
});

// Guards against a restart that is seen where there was none: the start in a record is
// compared with that in a list of runs.
test("a record that states no whole start says nothing about the lifetime", (t) => {
  const records = new PlatformRecords();
  const decode = (born: unknown) => {
    const record = {
      service: "desk",
      addr: "10.0.0.1:1",
      zone: "a",
      state: "ready",
      room: {},
      born,
    };
    return records.decodeEndpoint("servers/i-1", JSON.stringify(record));
  };
  t.is(decode(BORN_AT)?.bornAt, BORN_AT);
  for (const born of BAD_STARTS) t.is(decode(born)?.bornAt, 0);
});
