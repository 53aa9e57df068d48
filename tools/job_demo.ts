/**
 * Starts three entries with stand-ins for the users' platform on loopback and
 * submits jobs with one step, with two steps and with a gang. Stops the owner
 * halfway and checks that every accepted job completes and no task starts twice.
 *
 * Usage: node dist/tools/job_demo.js
 */
import process from "node:process";
import { formatTable } from "../packages/cli/mod.ts";
import { JobSite } from "../tests/harness/job_site.ts";

const JOB_COUNT = 60;
const ARRIVAL_INTERVAL_MS = 20;
const WORKER_COUNT = 4;

interface DemoJob {
  path: string;
  state: string;
}

const BASE_STEP = { count: 2, cpu: 500, mem_mb: 64, estimate_ms: 100 };
const JOB_BODIES = [
  { task_spec: "filing", steps: [BASE_STEP] },
  { task_spec: "review", steps: [BASE_STEP, { ...BASE_STEP, after: [0] }] },
  { task_spec: "allocation", steps: [{ ...BASE_STEP, count: 4, gang: true }] },
];

const site = new JobSite("127.52.0");
await site.start({ entries: 3, endpoints: WORKER_COUNT });
print(`3 entries and ${WORKER_COUNT} workers; sending ${JOB_COUNT} jobs`);
const jobs: DemoJob[] = [];
for (let number = 0; number < JOB_COUNT; number++) {
  if (number === JOB_COUNT / 2) await replaceOwner();
  jobs.push(await submitJob(number));
  await new Promise((resolve) => setTimeout(resolve, ARRIVAL_INTERVAL_MS));
}
await site.waitFor(async () => {
  for (const job of jobs) {
    if (job.state !== "completed") job.state = await readState(job.path);
  }
  return jobs.every(({ state }) => state === "completed");
});
const starts = site.endpoints.flatMap((worker) => worker.starts);
const repeatedStarts = starts.length - new Set(starts).size;
print(formatTable([
  ["worker", "starts"],
  ...site.endpoints.map((worker) => [worker.id, String(worker.starts.length)]),
]));
print(`${jobs.length} jobs completed; ${repeatedStarts} tasks started twice`);
await site.stop();
process.exit(repeatedStarts === 0 ? 0 : 1);

async function submitJob(number: number): Promise<DemoJob> {
  const path = `/filings/${number.toString(16).padStart(16, "0")}`;
  const body = JOB_BODIES[number % JOB_BODIES.length];
  for (let attempt = 0; attempt < 100; attempt++) {
    const entry = (number + attempt) % 3;
    const answer = await site.send(entry, path, { method: "POST", body });
    if (answer.status === 200) return { path, state: "accepted" };
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new Error(`Cannot submit ${path}`);
}

async function readState(path: string): Promise<string> {
  const answer = await site.send(0, path);
  return String(answer.body.state ?? "");
}

async function replaceOwner(): Promise<void> {
  const owner = site.findOwner();
  await site.entries[owner].node.beginStop();
  print(`entry-${owner} has handed over the cell`);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
