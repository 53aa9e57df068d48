// The owner of the cell freezes, and the many small tasks of one step end on one endpoint
// before the next owner asks it: more ends than one listing holds.
import { GATED_PREFIX, runCase, sleep } from "./site.mjs";

const TASKS = 1_200;
const FREEZE_MS = 4_000;
const JOB = "00000000000000dd";
/** Shortest run, and by how much the longest is longer, in milliseconds. */
const SHORTEST_MS = 600;
const SPREAD_MS = 400;

runCase("review/6", async (site, { hasTrouble, record }) => {
  /** Events of the runs of each task, in order. */
  const events = new Map();
  await site.start({ entries: 3, endpoints: [] });
  for (const n of [1, 2]) {
    await site.addEndpoint({
      id: `w${n}`,
      host: 50 + n,
      rack: `rack-${n}`,
      configure: (standIn) => {
        const note = standIn.onEvent;
        standIn.measureDuration = (task) =>
          SHORTEST_MS + Number(task.split(".").at(-1)) * 37 % SPREAD_MS;
        standIn.onEvent = (event) => {
          note(event);
          const list = events.get(event.task) ?? [];
          events.set(event.task, list);
          list.push(event);
        };
      },
    });
  }
  await sleep(2_000);
  const body = {
    task_spec: "filing",
    steps: [{
      count: TASKS,
      cpu: 26,
      mem_mb: 100,
      estimate_ms: SHORTEST_MS + SPREAD_MS / 2,
      affinity: "rack-1",
    }],
  };
  const prefix = GATED_PREFIX;
  if (!await site.submit(JOB, body, { prefix })) {
    throw new Error("the job was not accepted");
  }
  const until = Date.now() + 5_000;
  while (events.size < TASKS) {
    if (Date.now() > until) {
      throw new Error(`${events.size} tasks were started`);
    }
    await sleep(2);
  }
  if (hasTrouble) {
    const owner = site.findOwner();
    record.write(`${owner.name}, which owns the cell, freezes`);
    owner.process.kill("SIGSTOP");
    await sleep(FREEZE_MS);
    owner.process.kill("SIGCONT");
    record.write(`${owner.name} wakes`);
  }
  await sleep(18_000);
  const { status, body: answer } = await site.call(
    site.entries[0],
    "GET",
    JOB,
    { prefix },
  );
  const twice = [...events.values()].filter((list) =>
    list.some(({ kind, detail, run }, index) =>
      kind === "ended" && detail === "done" &&
      list.slice(index).some((later) =>
        later.kind === "started" && later.run > run
      ) &&
      list.some((other) => other.kind === "acknowledged" && other.run === run)
    )
  );
  record.write(
    `TWICE: ${twice.length} of ${TASKS} tasks were started after a run that had ` +
      `ended done, which was taken note of then or later`,
  );
  record.write(`the job is ${answer?.state ?? `answered ${status}`}`);
  return twice.length > 0;
});
