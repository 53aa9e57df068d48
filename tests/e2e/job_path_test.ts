import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { ExitCode, runCommandLine } from "../../packages/cli/mod.ts";
import { JobSite, ORGANISATION_KEY } from "../harness/job_site.ts";

const site = new JobSite("127.51.0");

test.before(async () => {
  await site.start({ entries: 3, endpoints: 3 });
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
  const starts = site.endpoints.flatMap((endpoint) => endpoint.starts);
  const jobTasks = starts.filter((task) => task.startsWith("00000000000000a1"));
  t.deepEqual(jobTasks.sort(), [
    "00000000000000a1.0.0.0",
    "00000000000000a1.0.0.1",
    "00000000000000a1.0.1.0",
  ]);
});

/** Payloads whose text is hard to encode, to measure or to cut. */
const TEXTS = [
  "ni\xf1o, 牛, 𠮷, e\u0301, \u{1f468}\u200d\u{1f469}",
  "lone surrogates \ud842 and \udfb7, reversed \udfb7\ud842",
  '\ufeffmark, "quotes", \\, \u0000, \u001f, \u2028, \r\n',
  "𠮷".repeat(1_000),
];

// Guards against text that is altered on its way through entries, journal and orders.
test.serial("payloads in any script are passed on unchanged, also by the next owner", async (t) => {
  const firstRunAt = Date.now() + 1_500;
  const ids = TEXTS.map((_, index) => `0000000000000f0${index}`);
  for (const [index, id] of ids.entries()) {
    const { status } = await site.send(0, `/filings/${id}`, {
      method: "POST",
      body: {
        task_spec: TEXTS[index],
        steps: JOB.steps,
        times: 1,
        first_run_ms: firstRunAt,
      },
    });
    t.is(status, 200);
  }
  const owner = site.findOwner();
  site.entries[owner].node.handleUnexpectedError(new Error("test"));
  for (const [index, id] of ids.entries()) {
    const path = `/filings/${id}`;
    await site.waitFor(async () => await findState(1, path) === "completed");
    const payloads = site.endpoints.flatMap((endpoint) =>
      endpoint.payloads.get(`${id}.0.1.0`) ?? []
    );
    t.deepEqual(payloads, [TEXTS[index]]);
  }
});

test.serial("a job that is submitted again with the same id runs once", async (t) => {
  const path = "/filings/00000000000000a2";
  for (const entry of [0, 1, 2]) {
    const answer = await site.send(entry, path, { method: "POST", body: JOB });
    t.is(answer.status, 200);
  }
  await site.waitFor(async () => await findState(1, path) === "completed");
  const starts = site.endpoints.flatMap((endpoint) => endpoint.starts);
  t.is(starts.filter((task) => task.startsWith("00000000000000a2")).length, 3);
});

test.serial("an unexpected error in the owner moves the cell, and jobs go on", async (t) => {
  const path = "/filings/00000000000000a9";
  const owner = site.findOwner();
  await site.send(0, path, { method: "POST", body: JOB });
  site.entries[owner].node.handleUnexpectedError(new Error("test"));
  await site.waitFor(() => ![-1, owner].includes(site.findOwner()));
  await site.waitFor(async () => await findState(owner, path) === "completed");
  const starts = site.endpoints.flatMap((endpoint) => endpoint.starts);
  const jobTasks = starts.filter((task) => task.startsWith("00000000000000a9"));
  t.is(new Set(jobTasks).size, 3);
});

test.serial("tasks of a queue with advice run only on endpoints that the policy service allows", async (t) => {
  for (const endpoint of site.endpoints) endpoint.needsTicket = true;
  const path = "/gated/00000000000000a3";
  await site.send(0, path, { method: "POST", body: JOB });
  await site.waitFor(async () => await findState(1, path) === "completed");
  t.false(site.endpoints[2].starts.some((task) => task.includes("a3.")));
  for (const endpoint of site.endpoints) endpoint.needsTicket = false;
});

test.serial("cancelling a job stops its runs", async (t) => {
  for (const endpoint of site.endpoints) endpoint.runMs = 20_000;
  const path = "/filings/00000000000000a4";
  await site.send(0, path, { method: "POST", body: JOB });
  await site.waitFor(async () => await findState(1, path) === "running");
  const answer = await site.send(1, path, { method: "DELETE" });
  t.is(answer.status, 200);
  t.is(await findState(2, path), "cancelled");
  await site.waitFor(() => site.endpoints.every(({ runs }) => runs.size === 0));
  for (const endpoint of site.endpoints) endpoint.runMs = 100;
});

test.serial("best-effort tasks are throttled beside a serving task over its target latency", async (t) => {
  for (const endpoint of site.endpoints) {
    endpoint.runMs = 20_000;
    endpoint.measureRun = (task) =>
      task.includes("a5.") ? [100, 150] : [10, 900];
  }
  const step = { count: 3, cpu: 500, mem_mb: 50, anti_affinity: 1 };
  const servingPath = "/filings/00000000000000a5";
  const bestEffortPath = "/filings/00000000000000a6";
  const servingStep = {
    ...step,
    long_running: true,
    target_ms: 100,
    may_miss: 1,
  };
  const bestEffortStep = { ...step, fills: true };
  for (
    const [path, jobStep] of [[servingPath, servingStep], [
      bestEffortPath,
      bestEffortStep,
    ]] as const
  ) {
    const body = { task_spec: "calves", steps: [jobStep] };
    const answer = await site.send(0, path, { method: "POST", body });
    t.is(answer.status, 200);
  }
  const listPaces = (taskPart: string) =>
    site.endpoints.flatMap(({ runs }) =>
      [...runs].flatMap(([task, { pace }]) =>
        task.includes(taskPart) ? [pace] : []
      )
    );
  await site.waitFor(() => {
    const paces = listPaces("a6.");
    return paces.length === 3 && paces.every((pace) => pace < 100);
  });
  t.deepEqual(listPaces("a5."), [100, 100, 100]);
  for (const path of [servingPath, bestEffortPath]) {
    await site.send(1, path, { method: "DELETE" });
  }
  await site.waitFor(() => site.endpoints.every(({ runs }) => runs.size === 0));
  for (const endpoint of site.endpoints) {
    endpoint.runMs = 100;
    endpoint.measureRun = undefined;
  }
});

test.serial("invalid requests are refused with a matching status", async (t) => {
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

test.serial("the command line submits and queries jobs, keeps a completed job on cancel and refuses invalid jobs", async (t) => {
  const directory = mkdtempSync(join(tmpdir(), "baobabhead-"));
  const file = join(directory, "job.json");
  writeFileSync(file, JSON.stringify({ steps: [{ tasks: 2, cores: 0.5 }] }));
  const commonArgs = ["--queue", "filings", "--key", ORGANISATION_KEY];
  commonArgs.push("--entry", site.getOperationsUrl(1));
  const id = "00000000000000e1";
  const submitted = await runCommandLine(
    ["job", "submit", file, "--id", id, ...commonArgs],
  );
  t.is(submitted.text, id, submitted.error);
  await site.waitFor(async () => {
    const status = await runCommandLine(["job", "status", id, ...commonArgs]);
    return status.text === "completed";
  });
  const cancelled = await runCommandLine(["job", "cancel", id, ...commonArgs]);
  t.is(cancelled.code, ExitCode.Ok);
  t.is(await findState(2, `/filings/${id}`), "completed");
  writeFileSync(file, JSON.stringify({ steps: [{ tasks: 0 }] }));
  const bad = await runCommandLine(["job", "submit", file, ...commonArgs]);
  t.is(bad.code, ExitCode.Failed);
  t.regex(bad.error ?? "", /steps\.0\.tasks/);
});

test.serial("metrics and a dump are served on the operations address", async (t) => {
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

test.serial("entries are not ready while the store is down and refuse jobs as not run", async (t) => {
  site.store.isDown = true;
  const submit = (number: number) => {
    const id = `c${number.toString().padStart(15, "0")}`;
    return site.send(0, `/filings/${id}`, { method: "POST", body: JOB });
  };
  const sentAt = Date.now();
  // The owner has taken this job in, so it may run once the store is back.
  t.is((await submit(0)).status, 504);
  let jobCount = 1;
  await site.waitFor(async () => (await submit(jobCount++)).status === 503);
  const refused = await submit(jobCount);
  t.is(refused.status, 503);
  t.is(refused.body.verdict, "not_run");
  const repeated = await submit(0);
  t.is(repeated.status, 504);
  t.is(repeated.body.verdict, "may_have_run");
  // An entry whose configuration is too old to check keys refuses every
  // request, so it reports itself to the load balancer as not ready.
  await site.waitFor(() => site.entries.every(({ node }) => !node.isReady()));
  t.true(Date.now() - sentAt < 8_000);
  site.store.isDown = false;
  await site.waitFor(() => site.entries.every(({ node }) => node.isReady()));
  t.is((await site.send(0, "/filings/00000000000000c2")).status, 410);
});

test.serial("a revoked key is refused", async (t) => {
  site.applyConfig(["another-key"]);
  const path = "/filings/00000000000000d1";
  await site.waitFor(async () => (await site.send(0, path)).status === 401);
  t.is((await site.send(0, path, { key: "another-key" })).status, 410);
});
