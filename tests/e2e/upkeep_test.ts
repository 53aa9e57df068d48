import test from "ava";
import { JobSite } from "../harness/job_site.ts";

const site = new JobSite("127.58.0");

test.before(async () => {
  await site.start({ entries: 2, endpoints: 3 });
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

test.serial("an upkeep wave takes down one VM at a time, after stopping its runs", async (t) => {
  const step = { count: 2, cpu: 1_000, mem_mb: 100, anti_affinity: 1 };
  const longRunningStep = { ...step, long_running: true, may_miss: 1 };
  for (const endpoint of site.endpoints) {
    endpoint.runMs = 60_000;
    endpoint.measureRun = () => [100, 0];
  }
  const path = "/filings/00000000000000c1";
  const body = { task_spec: "calves", steps: [longRunningStep] };
  await site.send(0, path, { method: "POST", body });
  const countRuns = () =>
    site.endpoints.reduce((sum, { runs }) => sum + runs.size, 0);
  await site.waitFor(() => countRuns() === 2);
  const runsAtUpkeepStart: number[] = [];
  site.vms.onUpkeepStart = (id) => {
    const endpoint = site.endpoints.find((candidate) => candidate.id === id);
    runsAtUpkeepStart.push(endpoint?.runs.size ?? 0);
  };
  // The VM service has no VM "gone", so the wave completes without it.
  const vmNames = ["m0", "m1", "gone"];
  site.store.put("op/wave/1", {
    wave: 1,
    machines: vmNames,
    duration_s: 9,
    cap: 1,
  });
  await site.waitFor(() => isCompleted(1));
  t.deepEqual(site.vms.startedUpkeeps, [["m0", 1], ["m1", 1]]);
  t.is(site.vms.maxDown, 1);
  t.deepEqual(
    runsAtUpkeepStart,
    [0, 0],
    "an upkeep began before the runs were stopped",
  );
  await site.send(0, path, { method: "DELETE" });
});

test.serial("the next owner finishes an upkeep wave without repeating an upkeep", async (t) => {
  site.vms.upkeepMs = 600;
  const vmNames = ["m0", "m1", "m2"];
  site.store.put("op/wave/2", {
    wave: 2,
    machines: vmNames,
    duration_s: 9,
    cap: 1,
  });
  await site.waitFor(() => site.vms.startedUpkeeps.length === 3);
  const owner = site.findOwner();
  await site.entries[owner].daemon.stop();
  await site.waitFor(() => isCompleted(2));
  const waveUpkeeps = site.vms.startedUpkeeps.filter(([, wave]) => wave === 2);
  t.deepEqual(waveUpkeeps.map(([vmName]) => vmName).sort(), vmNames);
  t.is(site.vms.maxDown, 1);
  t.is(site.vms.upkeepOwners.size, 2);
});
