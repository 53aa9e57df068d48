/**
 * A job whose second step is a gang that is faster on one rack. While its first step
 * works, one worker of each rack is lost for good.
 */
import { makeId, runCase, sleep } from "./site.mjs";

const RACKS = 3;
const WORKERS_PER_RACK = 8;
const FIRST_STEP_MS = 8_000;
const GANG_MS = 3_000;
const LOSE_AT_MS = 4_000;
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
const END_AT_MS = 75_000;

await runCase(process.argv[2], async (site, hasTrouble) => {
  const breaches = [];
  let ended = 0;
  let starts = 0;
  let running = 0;
  let idleSince = Date.now();
  site.runStarted = () => {
    starts++;
    running++;
  };
  site.runEnded = () => {
    ended++;
    running--;
    idleSince = Date.now();
  };
  await site.start({ entries: 3 });
  for (let n = 0; n < RACKS * WORKERS_PER_RACK; n++) {
    const worker = await site.addWorker({
      labels: ["a", `rack-${n % RACKS}`],
    });
    worker.measureWork = (task) =>
      task.split(".")[2] === "0" ? FIRST_STEP_MS : GANG_MS;
  }
  site.applyConfig({ routes: [{ name: "filings", prefix: "/filings/" }] });
  await site.waitReady();
  const path = `/filings/${makeId()}`;
  const status = await site.submit(path, {
    task_spec: "allocation",
    steps: [
      { count: 1, cpu: 1_000, mem_mb: 512, estimate_ms: FIRST_STEP_MS },
      {
        count: WORKERS_PER_RACK,
        cpu: 4_500,
        mem_mb: 4_600,
        estimate_ms: GANG_MS,
        after: [0],
        gang: true,
        rack_local: true,
        anti_affinity: 1,
      },
    ],
  });
  site.note(`handed in, answered ${status}; end of the traffic`);
  const startedAt = Date.now();
  await sleep(LOSE_AT_MS);
  if (hasTrouble) {
    for (let rack = 0; rack < RACKS; rack++) {
      const idle = site.workers.find(({ labels, runs }) =>
        labels[1] === `rack-${rack}` && runs.size === 0
      );
      site.note(`${idle.id} of ${idle.labels[1]} is lost for good`);
      idle.crash();
    }
  }
  while (Date.now() < startedAt + END_AT_MS) {
    const { status, body } = await site.call(site.entries[0], "GET", path);
    site.note(`${status} ${body?.state}; ${starts} starts, ${ended} ends`);
    if (body?.state === "completed") return breaches;
    await sleep(2_000);
  }
  const from = Math.max(idleSince, startedAt + FINISH_MS);
  if (running === 0 && Date.now() - from >= IDLE_MS) {
    breaches.push(
      `the gang's turn has come, ${
        RACKS * (WORKERS_PER_RACK - 1)
      } idle workers have room for ${WORKERS_PER_RACK} tasks, and nothing of ` +
        `the job has run for ${Date.now() - idleSince} ms`,
    );
  }
  return breaches;
});
