/**
 * Scheduled jobs with byte order marks in their `task_spec`; the entry that wrote to the
 * store last is killed before they are due.
 */
import { makeId, runCase, sleep } from "./site.mjs";

const JOBS = 500;
const LINES = 800;
const KILL_AT_MS = 32_000;
const DUE_AT_MS = 42_000;
const END_AT_MS = 85_000;

await runCase(process.argv[2], async (site, hasTrouble) => {
  const breaches = [];
  const sent = new Map();
  let started = 0;
  site.runStarted = (worker, { task, run, spec }) => {
    started++;
    const id = task.split(".")[0];
    if (sent.get(id) === spec) return;
    breaches.push(
      `${worker.id} was told to start ${task} run ${run} with another ` +
        `task_spec: ${spec.length} characters instead of ${
          sent.get(id)?.length
        }`,
    );
  };
  await site.start({ entries: 3 });
  for (let n = 0; n < 4; n++) {
    const worker = await site.addWorker();
    worker.measureWork = () => 100;
  }
  site.applyConfig({ routes: [{ name: "filings", prefix: "/filings/" }] });
  await site.waitReady();
  const startedAt = Date.now();
  const dueAt = startedAt + DUE_AT_MS;
  for (let n = 0; n < JOBS; n++) {
    const id = makeId();
    // Records of one ear tag each, as joined from files that begin with a mark.
    const digit = String(n % 10);
    const spec = `\ufeff${digit}\n`.repeat(LINES);
    sent.set(id, spec);
    const status = await site.submit(`/filings/${id}`, {
      task_spec: spec,
      steps: [{ count: 1, cpu: 100, mem_mb: 64, estimate_ms: 100 }],
      times: 1,
      first_run_ms: dueAt,
    });
    site.note(`job ${id} sent, answered ${status}`);
    if (status !== 200) sent.delete(id);
  }
  await sleep(startedAt + KILL_AT_MS - Date.now());
  if (hasTrouble) {
    const owner = site.findOwner();
    site.kill(owner);
    await sleep(1_000);
    site.startEntry(owner);
  }
  await sleep(dueAt - Date.now());
  while (started < sent.size && Date.now() < startedAt + END_AT_MS) {
    await sleep(200);
  }
  site.note(`${sent.size} jobs accepted, ${started} tasks started`);
  return breaches;
});
