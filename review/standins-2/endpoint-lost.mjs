// An endpoint is lost for good, silently, while short tasks are started on it. A task that
// lasts ran there.
import { runCase, sleep } from "./site.mjs";

const JOB = "00000000000000ee";
const STARTUP_MS = 300;
/** From this time after its last run, a task that lasts has to run within `IDLE_MS`. */
const RESTART_MS = 6_000;
const IDLE_MS = 3_000;
/** Three intervals of 1.5 s without a liveness report. */
const RECORD_MS = 4_500;
const SHORT_INTERVAL_MS = 100;
const SHORT_MS = 300;

runCase("review/7", async (site, { hasTrouble, record }) => {
  const running = new Map();
  const startedAt = new Map();
  await site.start({
    entries: 3,
    endpoints: [1, 2, 3].map((n) => ({
      id: `w${n}`,
      host: 50 + n,
      configure: (standIn) => {
        const note = standIn.onEvent;
        const isLasting = (task) => task.startsWith(JOB);
        standIn.measureDuration = (task) =>
          isLasting(task) ? 3_600_000 : SHORT_MS;
        standIn.measureRun = (task) => {
          const run = running.get(task);
          const elapsedMs = run ? Date.now() - run.since : 0;
          const durationMs = isLasting(task) ? STARTUP_MS : SHORT_MS;
          return [Math.min(100, Math.floor(100 * elapsedMs / durationMs)), 0];
        };
        standIn.onEvent = (event) => {
          note(event);
          const { kind, task } = event;
          if (kind === "started") {
            running.set(task, { id: `w${n}`, since: Date.now() });
            startedAt.set(task, Date.now());
          } else if (kind === "ended" && running.get(task)?.id === `w${n}`) {
            running.delete(task);
          }
        };
      },
    })),
  });
  await sleep(2_000);
  const lasting = {
    task_spec: "desk",
    steps: [{
      count: 2,
      cpu: 4_000,
      mem_mb: 256,
      estimate_ms: 1_000,
      long_running: true,
      may_miss: 1,
    }],
  };
  if (!await site.submit(JOB, lasting)) throw new Error("not accepted");
  const short = {
    task_spec: "filing",
    steps: [{ count: 3, cpu: 1_000, mem_mb: 256, estimate_ms: SHORT_MS }],
  };
  let isSending = true;
  const sender = (async () => {
    for (let n = 0; isSending; n++) {
      const id = (0x1000 + n).toString(16).padStart(16, "0");
      void site.call(site.entries[n % 3], "POST", id, { body: short });
      await sleep(SHORT_INTERVAL_MS);
    }
  })();
  await sleep(4_000);
  const task = `${JOB}.0.0.0`;
  const { id } = running.get(task);
  const lostAt = Date.now();
  if (hasTrouble) {
    record.write(`${id} loses power for good: it answers nothing any more`);
    const { standIn } = site.endpoints.get(id);
    standIn.isStalled = true;
    for (const [name, run] of running) if (run.id === id) running.delete(name);
    setTimeout(() => {
      site.store.remove(`servers/${id}`);
      record.write(`platform: the record of ${id} is removed`);
    }, RECORD_MS);
  }
  await sleep(30_000);
  isSending = false;
  await sender;
  if (!hasTrouble) return false;
  const restarted = startedAt.get(task);
  const awayMs = restarted > lostAt ? restarted - lostAt : Date.now() - lostAt;
  record.write(`LOST: ${task} ran nowhere for ${awayMs} ms`);
  return awayMs > RESTART_MS + IDLE_MS;
});
