// The owner of the cell is killed after it has stored which upkeeps may begin and before
// it orders them. A step that lasts is handed in meanwhile.
import { runCase, sleep } from "./site.mjs";

const UPKEEP_RECORD = "baobabhead/upkeep/1";
/** Time after its start from which a task that lasts is at work, in milliseconds. */
const STARTUP_MS = 300;
const MAY_MISS = 1;
/** Time without work, for any cause, after which a task counts as away (`notice_ms`). */
const NOTICE_MS = 4_500;
const JOB = "00000000000000bb";

runCase("review/10", async (site, { hasTrouble, record }) => {
  /** Since when each task runs, and when it was last at work. */
  const running = new Map();
  const lastAtWork = new Map();
  const endedByUpkeep = new Set();
  let isBroken = false;
  const isAtWork = (task, now) =>
    running.has(task) && now - running.get(task).since >= STARTUP_MS;
  const isAway = (task, now) => {
    if (isAtWork(task, now)) return false;
    return endedByUpkeep.has(task) ||
      now - (lastAtWork.get(task) ?? now) >= NOTICE_MS;
  };

  const addEndpoint = (id, host) =>
    site.addEndpoint({
      id,
      host,
      configure: (standIn) => {
        const note = standIn.onEvent;
        standIn.measureDuration = () => 3_600_000;
        standIn.measureRun = (task) => [
          isAtWork(task, Date.now()) ? 100 : 0,
          0,
        ];
        standIn.onEvent = (event) => {
          note(event);
          const { kind, task } = event;
          if (kind === "started") running.set(task, { id, since: Date.now() });
          else if (kind === "ended") {
            if (isAtWork(task, Date.now())) lastAtWork.set(task, Date.now());
            if (running.get(task)?.id === id) running.delete(task);
          }
        };
      },
    });

  site.vmService.onUpkeep = (machine, id, { holder }) => {
    const now = Date.now();
    const tasks = [...running].filter(([, run]) => run.id === id)
      .map(([task]) => task);
    record.write(
      `platform: upkeep of ${machine} begins, ordered by ${holder}; ` +
        `running there: ${tasks.join(" ") || "nothing"}`,
    );
    for (const task of tasks) {
      if (!isAtWork(task, now)) continue;
      const others = [0, 1].map((index) => `${JOB}.0.0.${index}`)
        .filter((other) => other !== task && isAway(other, now));
      if (others.length >= MAY_MISS) {
        isBroken = true;
        record.write(
          `AVAIL: the upkeep ends ${task} at work while ${
            others.join(" ")
          } is away; may_miss is ${MAY_MISS}`,
        );
      }
      endedByUpkeep.add(task);
    }
    const { standIn } = site.endpoints.get(id);
    standIn.crash();
    site.store.remove(`servers/${id}`);
  };
  site.vmService.onUp = (machine, vm) => {
    const { host } = site.endpoints.get(vm.id);
    vm.id += "n";
    record.write(`platform: ${machine} is up with ${vm.id}`);
    void addEndpoint(vm.id, host + 20);
  };

  await site.start({ entries: 3, endpoints: [] });
  for (const n of [1, 2]) {
    await addEndpoint(`w${n}`, 50 + n);
    site.vmService.vms.set(`m${n}`, {
      id: `w${n}`,
      state: "up",
      pool: "desk",
      waves: new Set(),
    });
  }
  // The owner accepts the endpoints and runs a first job there.
  await sleep(2_000);
  site.store.put("op/wave/1", {
    wave: 1,
    machines: ["m1", "m2"],
    duration_s: 40,
    cap: 2,
  });
  record.write("operator: wave 1 of m1 and m2, cap 2, 40 s");
  const until = Date.now() + 10_000;
  while (!site.store.items.has(UPKEEP_RECORD)) {
    if (Date.now() > until) throw new Error("no upkeep was recorded");
    await sleep(2);
  }
  const owner = site.findOwner();
  if (hasTrouble) {
    record.write(`${owner.name}, which wrote last, is killed`);
    owner.process.kill("SIGKILL");
  }
  await sleep(200);
  const others = site.entries.filter((entry) => entry !== owner);
  const body = {
    task_spec: "desk",
    steps: [{
      count: 2,
      cpu: 20_000,
      mem_mb: 256,
      estimate_ms: 1_000,
      long_running: true,
      may_miss: MAY_MISS,
    }],
  };
  let isAccepted = false;
  for (let attempt = 0; attempt < 8 && !isAccepted; attempt++) {
    const entry = others[attempt % others.length];
    const { status } = await site.call(entry, "POST", JOB, { body });
    isAccepted = status === 200;
    if (!isAccepted) await sleep(200);
  }
  if (!isAccepted) throw new Error("the job was not accepted");
  await sleep(15_000);
  record.write(
    `at the end ${running.size} tasks of the job run; wave 1 is ${
      site.store.read("status/wave/1")?.state
    }`,
  );
  return isBroken;
});
