/**
 * An upkeep wave of two idle machines. The service for machines gives no answer for two
 * seconds, and the owner of the cell freezes while one of its orders waits for a channel.
 */
import { fork } from "node:child_process";
import net from "node:net";
import process from "node:process";
import { runCase, sleep, STORE_PORT } from "./site.mjs";

const WAVE = 1;
const BEFORE_MS = 5_000;
const FREEZE_AFTER_MS = 400;
const SILENT_MS = 2_000;
const FREEZE_MS = 5_000;
const WATCH_MS = 6_000;
const DUMMY_WAIT_MS = 40;
const MAX_DUMMIES = 6;

/** Opens channels until one isn't taken: the queue of new ones is full. */
async function fillQueue(host) {
  const sockets = [];
  for (let n = 0; n < MAX_DUMMIES; n++) {
    const socket = net.connect(STORE_PORT, host);
    socket.on("error", () => {});
    sockets.push(socket);
    const isOpen = await new Promise((resolve) => {
      socket.once("connect", () => resolve(true));
      setTimeout(() => resolve(false), DUMMY_WAIT_MS);
    });
    if (!isOpen) return sockets;
  }
  throw new Error("the queue of new channels can't be filled here");
}

await runCase(process.argv[2], async (site, hasTrouble) => {
  const breaches = [];
  await site.start({ entries: 0 });
  await new Promise((resolve) => site.cloud.close(resolve));
  site.cloud = undefined;
  for (let n = 0; n < 4; n++) await site.addWorker();
  const machines = site.workers.map(({ id, zone, labels, room }, n) => ({
    machine: `m-${n}`,
    pool: "desk",
    state: "up",
    zone,
    labels,
    room,
    id,
  }));
  const members = ["m-0", "m-1"];
  const host = `127.${site.network}.0.2`;
  const service = fork("review/standins-3/machines.mjs", [
    host,
    String(STORE_PORT),
    JSON.stringify(machines),
    String(WAVE),
    members.join(","),
  ]);
  process.once("exit", () => service.kill("SIGKILL"));
  const last = new Map();
  const isReady = new Promise((resolve) =>
    service.on("message", (message) => {
      if (message.ready) resolve();
      if (message.begun) {
        site.note(`upkeep of ${message.begun} begins`);
        const worker = site.workers.find(({ id }) => id === message.id);
        worker.crash();
      }
      if (message.up) {
        const n = Number(message.up.slice(2));
        const { labels, room, host: address } = site.workers[n];
        void site.replaceWorker(n, {
          id: message.id,
          labels,
          room,
          host: address,
        });
      }
      if (!message.order) return;
      const { order, holder, fence, status } = message;
      site.note(`order for ${order} by ${holder}, fence ${fence}: ${status}`);
      const former = last.get(order);
      if (former && fence < former.fence) {
        breaches.push(
          `${order} had an order by ${former.holder} with fence ` +
            `${former.fence}, and now one by ${holder} with ${fence}`,
        );
      }
      if (!former || fence >= former.fence) last.set(order, { fence, holder });
    })
  );
  await isReady;
  for (let n = 0; n < 3; n++) site.addEntry();
  site.applyConfig({ routes: [{ name: "filings", prefix: "/filings/" }] });
  await site.waitReady();
  await sleep(BEFORE_MS);
  site.store.put(`op/wave/${WAVE}`, {
    wave: WAVE,
    machines: members,
    duration_s: 60,
    cap: members.length,
  });
  // The owner stores which upkeeps may begin before it orders them.
  await site.waitFor(
    () => site.store.read(`baobabhead/upkeep/${WAVE}`) !== undefined,
    20_000,
  );
  const owner = site.findOwner();
  if (hasTrouble) {
    service.kill("SIGSTOP");
    site.note("the service for machines gives no answer");
    const dummies = await fillQueue(host);
    await sleep(FREEZE_AFTER_MS - DUMMY_WAIT_MS);
    owner.child.kill("SIGSTOP");
    site.note(`${owner.name} freezes`);
    await sleep(SILENT_MS);
    for (const socket of dummies) socket.destroy();
    service.kill("SIGCONT");
    site.note("the service for machines answers again");
    await sleep(FREEZE_MS - SILENT_MS);
    owner.child.kill("SIGCONT");
    site.note(`${owner.name} wakes`);
  }
  await sleep(WATCH_MS);
  const state = site.store.read(`status/wave/${WAVE}`)?.state;
  site.note(`the wave is ${state}`);
  service.disconnect();
  return breaches;
});
