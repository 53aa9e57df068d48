// The owner of the cell is killed as the store takes the placement of a task that lasts,
// before the start is sent. The queue has no advice.
import { Buffer } from "node:buffer";
import { runCase, sleep } from "./site.mjs";

const JOB = "00000000000000ff";
const TASK = `${JOB}.0.0.0`;
const FIRST_RUN_MS = 3_000;
/** From this time after its last run, a task that lasts has to run within `IDLE_MS`. */
const RESTART_MS = 6_000;
const IDLE_MS = 3_000;
const LOG_PREFIX = "baobabhead/log/";

runCase("review/9", async (site, { hasTrouble, record }) => {
  const starts = [];
  let firstEndedAt = 0;
  await site.start({
    entries: 3,
    endpoints: [1, 2, 3].map((n) => ({
      id: `w${n}`,
      host: 50 + n,
      configure: (standIn) => {
        const note = standIn.onEvent;
        standIn.measureDuration = () =>
          starts.length === 0 ? FIRST_RUN_MS : 3_600_000;
        standIn.measureRun = () => [100, 0];
        standIn.onEvent = (event) => {
          note(event);
          if (event.kind === "started") starts.push(Date.now());
          if (event.kind === "ended") firstEndedAt ||= Date.now();
        };
      },
    })),
  });
  await sleep(2_000);
  if (hasTrouble) {
    const { items } = site.store;
    const set = items.set.bind(items);
    let isKilled = false;
    items.set = (key, item) => {
      const records = key.startsWith(LOG_PREFIX)
        ? JSON.parse(Buffer.from(item.value, "base64").toString())
        : [];
      const isPlaced = records.some(({ kind, runs }) =>
        kind === "placed" && runs.some(([task]) => task === TASK)
      );
      if (isPlaced && firstEndedAt > 0 && !isKilled) {
        isKilled = true;
        const owner = site.findOwner();
        record.write(`${owner.name}, which has just written, is killed`);
        owner.process.kill("SIGKILL");
      }
      return set(key, item);
    };
  }
  const body = {
    task_spec: "desk",
    steps: [{
      count: 1,
      cpu: 4_000,
      mem_mb: 256,
      estimate_ms: 1_000,
      long_running: true,
    }],
  };
  if (!await site.submit(JOB, body)) throw new Error("not accepted");
  await sleep(FIRST_RUN_MS + 22_000);
  if (firstEndedAt === 0) throw new Error("the first run has not ended");
  const restartedAt = starts[1] ?? Date.now();
  const idleMs = restartedAt - firstEndedAt;
  record.write(
    `LOST: ${TASK} ran nowhere for ${idleMs} ms, beside three idle endpoints`,
  );
  return idleMs > RESTART_MS + IDLE_MS;
});
