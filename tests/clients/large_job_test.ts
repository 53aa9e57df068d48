/**
 * Guards against one accepted job that ends the owner, and each owner after it that
 * restores it.
 */
import test from "ava";
import { sleep } from "../standins/http_server.ts";
import { HEAP_MB, MEMORY_MB, TEST_TIMEOUT_MS } from "./constants.ts";
import { JobClientsSite } from "./job_clients_site.ts";

/** Time in which owners replaced each other when the job ended them, in milliseconds. */
const WATCH_MS = 15_000;
const ID = "00000000000000f2";
const STEP = { count: 10_000, cpu: 100, mem_mb: 50, estimate_ms: 100 };
const STEPS = 64;
/** Far in the future, in Unix milliseconds. */
const LATER = 4_000_000_000_000;

const JOBS: Record<string, object> = {
  "64 steps of 10,000 tasks": {
    task_spec: "large",
    steps: Array.from({ length: STEPS }, () => STEP),
  },
  "64 steps of 10,000 tasks, one after the other": {
    task_spec: "large",
    steps: Array.from({ length: STEPS }, (_, n) => ({
      ...STEP,
      ...n > 0 ? { after: [n - 1] } : {},
    })),
  },
  "10,000 occurrences of 64 steps of 10,000 tasks": {
    task_spec: "large",
    steps: Array.from({ length: STEPS }, () => STEP),
    times: 10_000,
    interval_ms: 1,
    first_run_ms: LATER,
  },
};

for (const [n, [name, job]] of Object.entries(JOBS).entries()) {
  test.serial(`a job of ${name} ends no entry`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const limits = { heapMb: HEAP_MB };
    const site = await JobClientsSite.start(`127.${242 + n}`, { limits });
    try {
      const owner = site.findOwner();
      await site.send(owner, { method: "POST", id: ID, body: job });
      await sleep(WATCH_MS);
      t.deepEqual(site.listEnded(), [], "processes that ended");
      for (const entry of [0, 1]) {
        t.true(await site.canServe(entry), "an ordinary request");
      }
      const status = await site.send(owner, { method: "DELETE", id: ID });
      t.true([200, 410].includes(status), `cancelling: ${status}`);
      t.true(site.measureLargestMemory() <= MEMORY_MB);
    } finally {
      await site.stop();
    }
  });
}

test.serial("a stored job beyond the limit of an owner ends none and can be cancelled", async (t) => {
  t.timeout(TEST_TIMEOUT_MS);
  const site = await JobClientsSite.start("127.246", {
    limits: { heapMb: HEAP_MB },
  });
  try {
    const body = {
      task_spec: "large",
      steps: [{ ...STEP, count: 2_000 }],
      times: 1,
      interval_ms: 1,
      first_run_ms: LATER,
    };
    const accepted = await site.send(0, { method: "POST", id: ID, body });
    t.is(accepted, 200);
    await site.restart("[limits]\nheld_tasks = 1000\n");
    for (const entry of [0, 1]) t.true(await site.canServe(entry));
    t.is(await site.send(0, { method: "GET", id: ID }), 200);
    t.is(await site.send(1, { method: "DELETE", id: ID }), 200);
    t.deepEqual(site.listEnded(), []);
  } finally {
    await site.stop();
  }
});
