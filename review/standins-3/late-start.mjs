/**
 * A task that lasts fails once by itself. The order to start it again gets no answer and
 * is carried out late.
 */
import { makeId, runCase, sleep } from "./site.mjs";

const FAIL_AFTER_MS = 8_000;
const LATE_MS = 2_500;
const END_AFTER_MS = 30_000;
const AFTER_RUN_MS = 6_000;
const IDLE_MS = 3_000;
const CALM_MS = 4_000;

await runCase(process.argv[2], async (site, hasTrouble) => {
  const breaches = [];
  let starts = 0;
  let endedAt;
  let calmSince = Number.NEGATIVE_INFINITY;
  let isDelayed = false;
  site.runStarted = () => {
    starts++;
    endedAt = undefined;
  };
  site.runEnded = () => endedAt = Date.now();
  site.carriedOutLate = () => calmSince = Date.now();
  await site.start({ entries: 3 });
  for (let n = 0; n < 4; n++) {
    const worker = await site.addWorker();
    worker.measureFailure = () => starts === 0 ? FAIL_AFTER_MS : undefined;
    worker.delayOrder = (call) => {
      if (call !== "run-start" || starts !== 1 || isDelayed || !hasTrouble) {
        return undefined;
      }
      isDelayed = true;
      return LATE_MS;
    };
  }
  site.applyConfig({ routes: [{ name: "filings", prefix: "/filings/" }] });
  await site.waitReady();
  const status = await site.submit(`/filings/${makeId()}`, {
    task_spec: "serve",
    steps: [{ count: 1, cpu: 2_000, mem_mb: 1_024, long_running: true }],
  });
  site.note(`handed in, answered ${status}`);
  await site.waitFor(() => endedAt !== undefined, FAIL_AFTER_MS + 5_000);
  const until = Date.now() + END_AFTER_MS;
  let isBroken = false;
  while (Date.now() < until) {
    const now = Date.now();
    const from = Math.max((endedAt ?? now) + AFTER_RUN_MS, calmSince + CALM_MS);
    if (endedAt !== undefined && now >= from + IDLE_MS && !isBroken) {
      isBroken = true;
      breaches.push(
        `the task, which lasts, has had nothing running for ${
          now - endedAt
        } ms, the last ${Math.round(now - calmSince)} ms of them calm`,
      );
      site.note(breaches[0]);
    }
    await sleep(20);
  }
  if (starts < 2) site.note("the task was not started again");
  if (hasTrouble && !isDelayed) throw new Error("no order was delayed");
  return breaches;
});
