import type { Socket } from "node:net";
import test from "ava";
import { listen, sendJson, sleep } from "../standins/http_server.ts";
import { SoakCaller } from "./caller.ts";
import { createRandom } from "./schedule.ts";
import { type SoakCall, type SoakEvent, SoakEventKind } from "./types.ts";

const ADDRESS = { host: "127.59.0.1", port: 7_130 };
const PRESS_MS = 5_000;

// Guards against callers that leave a stopping entry early, so that the soak would
// miss answers that are lost until the process is gone.
test("a caller uses its open connection until the entry closes it", async (t) => {
  const sockets = new Set<Socket>();
  const server = await listen(ADDRESS, (request, response) => {
    sockets.add(request.socket);
    sendJson(response, {});
  });
  const calls: SoakCall[] = [];
  const view = {
    keys: ["key-1"],
    rotation: [0],
    getUrl: () => `http://${ADDRESS.host}:${ADDRESS.port}`,
  };
  const caller = new SoakCaller({
    number: 0,
    host: "127.59.0.2",
    random: createRandom(1),
    view,
    onEvent: (event: SoakEvent) => {
      if (event.kind === SoakEventKind.Call) calls.push(event);
    },
  });
  const pressing = caller.pressEntry(0, PRESS_MS);
  while (calls.length < 3) await sleep(5);

  view.rotation = [];
  const callsBefore = calls.length;
  while (calls.length < callsBefore + 10) await sleep(5);
  t.is(sockets.size, 1);
  t.true(calls.every(({ status }) => status === 200));

  server.closeAllConnections();
  await pressing;
  t.is(sockets.size, 1);
  await caller.close();
  server.close();
});
