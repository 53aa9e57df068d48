/**
 * Tasks that last, one a worker. All machines but that of the cell's owner lose power and
 * come back.
 */
import { makeId, runCase, sleep } from "./site.mjs";

const TASKS = 4;
const DARK_AT_MS = 10_000;
const DARK_MS = 9_500;
const CONTACT_MS = 3_000;
const END_AT_MS = 55_000;
const AFTER_RUN_MS = 6_000;
const IDLE_MS = 3_000;
const CALM_MS = 4_000;
const ASK_EVERY_MS = 1_000;

await runCase(process.argv[2], async (site, hasTrouble) => {
  const breaches = [];
  const endedAt = new Map();
  let calmSince = Number.NEGATIVE_INFINITY;
  site.runStarted = (_worker, { task }) => endedAt.delete(task);
  site.runEnded = (_worker, { task }) => endedAt.set(task, Date.now());
  await site.start({ entries: 3 });
  for (let n = 0; n < 6; n++) await site.addWorker();
  site.applyConfig({ routes: [{ name: "filings", prefix: "/filings/" }] });
  await site.waitReady();
  const startedAt = Date.now();
  const path = `/filings/${makeId()}`;
  const status = await site.submit(path, {
    task_spec: "serve",
    steps: [{
      count: TASKS,
      cpu: 2_000,
      mem_mb: 1_024,
      long_running: true,
      may_miss: 1,
      anti_affinity: 1,
    }],
  });
  site.note(`handed in, answered ${status}`);
  await sleep(startedAt + DARK_AT_MS - Date.now());
  const owner = site.findOwner();
  if (hasTrouble) {
    const others = site.entries.filter((entry) => entry !== owner);
    for (const entry of others) {
      // A process that is stopped answers nothing and closes nothing, as without power.
      site.note(`${entry.name} loses power`);
      entry.child.kill("SIGSTOP");
      setTimeout(() => {
        site.kill(entry);
        setTimeout(() => site.startEntry(entry), 100);
      }, DARK_MS);
    }
    calmSince = Date.now() + DARK_MS + CONTACT_MS;
  }
  const broken = new Set();
  let askedAt = 0;
  while (Date.now() < startedAt + END_AT_MS) {
    const now = Date.now();
    for (const [task, at] of endedAt) {
      const from = Math.max(at + AFTER_RUN_MS, calmSince + CALM_MS);
      if (now < from + IDLE_MS || broken.has(task)) continue;
      broken.add(task);
      breaches.push(
        `${task}, which lasts, has had nothing running for ${
          now - at
        } ms, the last ${now - calmSince} ms of them calm`,
      );
      site.note(breaches.at(-1));
    }
    if (now >= askedAt + ASK_EVERY_MS) {
      askedAt = now;
      void site.call(owner, "GET", path, { deadlineMs: 900 }).then((answer) => {
        const { term } = site.store.read("baobabhead/cell/owner") ?? {};
        site.note(`term ${term}, state ${answer.status} ${answer.body?.state}`);
      });
    }
    await sleep(20);
  }
  const log = site.readLog(owner).split("\n");
  for (const line of log.filter((text) => text.includes("cut off from"))) {
    site.note(`${owner.name} logs ${JSON.parse(line).reason}`);
  }
  return breaches;
});
