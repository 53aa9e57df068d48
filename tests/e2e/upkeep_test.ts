import test from "ava";
import { JobSite } from "../harness/job_site.ts";

const site = new JobSite("127.58.0");

test.before(async () => {
  await site.start({ entries: 2, workers: 3 });
});

test.after.always(async () => {
  await site.stop();
});

function isCompleted(wave: number): boolean {
  const report = site.store.read(`status/wave/${wave}`) as
    | { state: string }
    | undefined;
  return report?.state === "completed";
}

test.serial("a wave of upkeep is carried out, one machine at a time", async (t) => {
  const step = { count: 2, cpu: 1_000, mem_mb: 100, anti_affinity: 1 };
  const lasting = { ...step, long_running: true, may_miss: 1 };
  for (const worker of site.workers) {
    worker.taskMs = 60_000;
    worker.describeRun = () => [100, 0];
  }
  const path = "/filings/00000000000000c1";
  const body = { task_spec: "calves", steps: [lasting] };
  await site.send(0, path, { method: "POST", body });
  const countRuns = () =>
    site.workers.reduce((sum, { runs }) => sum + runs.size, 0);
  await site.waitFor(() => countRuns() === 2);
  const busyAtDown: number[] = [];
  site.vms.onDown = (id) => {
    const worker = site.workers.find((each) => each.id === id);
    busyAtDown.push(worker?.runs.size ?? 0);
  };
  const machines = ["m0", "m1", "gone"];
  site.store.put("op/wave/1", { wave: 1, machines, duration_s: 9, cap: 1 });
  await site.waitFor(() => isCompleted(1));
  t.deepEqual(site.vms.begun, [["m0", 1], ["m1", 1]]);
  t.is(site.vms.maxDown, 1);
  t.deepEqual(busyAtDown, [0, 0], "what ran there had been stopped");
  await site.send(0, path, { method: "DELETE" });
});

test.serial("the next owner finishes a wave and repeats none of it", async (t) => {
  site.vms.upkeepMs = 600;
  const machines = ["m0", "m1", "m2"];
  site.store.put("op/wave/2", { wave: 2, machines, duration_s: 9, cap: 1 });
  await site.waitFor(() => site.vms.begun.length === 3);
  const owner = site.findOwner();
  await site.entries[owner].daemon.stop();
  await site.waitFor(() => isCompleted(2));
  const ofWave = site.vms.begun.filter(([, wave]) => wave === 2);
  t.deepEqual(ofWave.map(([machine]) => machine).sort(), machines);
  t.is(site.vms.maxDown, 1);
  t.is(site.vms.holders.size, 2);
});
