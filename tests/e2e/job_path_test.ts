import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { ExitCode, runCommandLine } from "../../packages/cli/mod.ts";
import { JobSite, KEY } from "../harness/job_site.ts";

const site = new JobSite("127.51.0");

test.before(async () => {
  await site.start({ entries: 3, workers: 3 });
});

test.after.always(async () => {
  await site.stop();
});

const JOB = {
  task_spec: "calves 1 to 9",
  steps: [
    { count: 2, cpu: 1_000, mem_mb: 100, estimate_ms: 100 },
    { count: 1, cpu: 500, mem_mb: 50, estimate_ms: 100, after: [0] },
  ],
};

async function findState(entry: number, path: string): Promise<unknown> {
  return (await site.send(entry, path)).body.state;
}

test.serial("a job is stored, run and shown as completed at every entry", async (t) => {
  const path = "/filings/00000000000000a1";
  const accepted = await site.send(0, path, { method: "POST", body: JOB });
  t.is(accepted.status, 200);
  await site.waitFor(async () => await findState(1, path) === "completed");
  t.is(await findState(2, path), "completed");
  const starts = site.workers.flatMap((worker) => worker.starts);
  const ofJob = starts.filter((task) => task.startsWith("00000000000000a1"));
  t.deepEqual(ofJob.sort(), [
    "00000000000000a1.0.0.0",
    "00000000000000a1.0.0.1",
    "00000000000000a1.0.1.0",
  ]);
});

test.serial("the same job handed in again stays one job", async (t) => {
  const path = "/filings/00000000000000a2";
  for (const entry of [0, 1, 2]) {
    const answer = await site.send(entry, path, { method: "POST", body: JOB });
    t.is(answer.status, 200);
  }
  await site.waitFor(async () => await findState(1, path) === "completed");
  const starts = site.workers.flatMap((worker) => worker.starts);
  t.is(starts.filter((task) => task.startsWith("00000000000000a2")).length, 3);
});

test.serial("tasks of a gated queue run only where the policy allows", async (t) => {
  for (const worker of site.workers) worker.needsTicket = true;
  const path = "/gated/00000000000000a3";
  await site.send(0, path, { method: "POST", body: JOB });
  await site.waitFor(async () => await findState(1, path) === "completed");
  t.false(site.workers[2].starts.some((task) => task.includes("a3.")));
  for (const worker of site.workers) worker.needsTicket = false;
});

test.serial("a job that is cancelled stops", async (t) => {
  for (const worker of site.workers) worker.taskMs = 20_000;
  const path = "/filings/00000000000000a4";
  await site.send(0, path, { method: "POST", body: JOB });
  await site.waitFor(async () => await findState(1, path) === "running");
  const answer = await site.send(1, path, { method: "DELETE" });
  t.is(answer.status, 200);
  t.is(await findState(2, path), "cancelled");
  await site.waitFor(() => site.workers.every(({ runs }) => runs.size === 0));
  for (const worker of site.workers) worker.taskMs = 100;
});

test.serial("filling work beside a strained service is held back", async (t) => {
  for (const worker of site.workers) {
    worker.taskMs = 20_000;
    worker.describeRun = (task) =>
      task.includes("a5.") ? [100, 150] : [10, 900];
  }
  const step = { count: 3, cpu: 500, mem_mb: 50, anti_affinity: 1 };
  const desk = "/filings/00000000000000a5";
  const fill = "/filings/00000000000000a6";
  const service = { ...step, long_running: true, target_ms: 100, may_miss: 1 };
  const batch = { ...step, fills: true };
  for (const [path, each] of [[desk, service], [fill, batch]] as const) {
    const body = { task_spec: "calves", steps: [each] };
    const answer = await site.send(0, path, { method: "POST", body });
    t.is(answer.status, 200);
  }
  const listPaces = (name: string) =>
    site.workers.flatMap(({ runs }) =>
      [...runs].flatMap(([task, { pace }]) => task.includes(name) ? [pace] : [])
    );
  await site.waitFor(() => {
    const paces = listPaces("a6.");
    return paces.length === 3 && paces.every((pace) => pace < 100);
  });
  t.deepEqual(listPaces("a5."), [100, 100, 100]);
  for (const path of [desk, fill]) {
    await site.send(1, path, { method: "DELETE" });
  }
  await site.waitFor(() => site.workers.every(({ runs }) => runs.size === 0));
  for (const worker of site.workers) {
    worker.taskMs = 100;
    worker.describeRun = () => [0, 0];
  }
});

test.serial("bad requests get a clear answer at once", async (t) => {
  const body = { steps: [{ count: -1 }] };
  const bad = await site.send(0, "/filings/00000000000000b1", {
    method: "POST",
    body,
  });
  t.is(bad.status, 400);
  t.regex(String(bad.body.error), /step 0: `count`/);
  const key = "wrong";
  t.is((await site.send(0, "/filings/00000000000000b2", { key })).status, 401);
  t.is((await site.send(0, "/nowhere/00000000000000b3")).status, 404);
  t.is((await site.send(0, "/filings/00000000000000b4")).status, 410);
});

test.serial("jobs work through the command line and our own interface", async (t) => {
  const directory = mkdtempSync(join(tmpdir(), "baobabhead-"));
  const file = join(directory, "job.json");
  writeFileSync(file, JSON.stringify({ steps: [{ tasks: 2, cores: 0.5 }] }));
  const common = ["--queue", "filings", "--key", KEY];
  common.push("--entry", site.getOperationsUrl(1));
  const id = "00000000000000e1";
  const sent = await runCommandLine(
    ["job", "submit", file, "--id", id, ...common],
  );
  t.is(sent.text, id, sent.error);
  await site.waitFor(async () => {
    const status = await runCommandLine(["job", "status", id, ...common]);
    return status.text === "completed";
  });
  const cancelled = await runCommandLine(["job", "cancel", id, ...common]);
  t.is(cancelled.code, ExitCode.Ok);
  t.is(await findState(2, `/filings/${id}`), "completed");
  writeFileSync(file, JSON.stringify({ steps: [{ tasks: 0 }] }));
  const bad = await runCommandLine(["job", "submit", file, ...common]);
  t.is(bad.code, ExitCode.Failed);
  t.regex(bad.error ?? "", /steps\.0\.tasks/);
});

test.serial("metrics and a dump are served on the operators' address", async (t) => {
  const metrics = await site.fetchOperations(0, "/metrics");
  t.regex(
    metrics,
    /baobabhead_requests_total\{method="submit",outcome="accepted"\} \d/,
  );
  t.regex(metrics, /baobabhead_request_ms\{/);
  t.regex(metrics, /baobabhead_config_version \d/);
  const dump = JSON.parse(await site.fetchOperations(0, "/dump"));
  t.is(dump.entry, "entry-0");
});

test.serial("while the store is down jobs are refused as not run", async (t) => {
  site.store.isDown = true;
  const path = "/filings/00000000000000c1";
  const sentAt = Date.now();
  await site.waitFor(async () => {
    const { status } = await site.send(0, path, { method: "POST", body: JOB });
    return status === 503;
  });
  const refused = await site.send(0, path, { method: "POST", body: JOB });
  t.is(refused.body.verdict, "not_run");
  // An entry that refuses every key is not ready: the balancer is told so.
  await site.waitFor(() => site.entries.every(({ node }) => !node.isReady()));
  t.true(Date.now() - sentAt < 8_000);
  site.store.isDown = false;
  await site.waitFor(() => site.entries.every(({ node }) => node.isReady()));
  t.is((await site.send(0, "/filings/00000000000000c2")).status, 410);
});

test.serial("a key that is taken away stops working", async (t) => {
  site.applyConfig(["another-key"]);
  const path = "/filings/00000000000000d1";
  await site.waitFor(async () => (await site.send(0, path)).status === 401);
  t.is((await site.send(0, path, { key: "another-key" })).status, 410);
});
