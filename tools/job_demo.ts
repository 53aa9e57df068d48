/**
 * Starts three entries with stand-ins for the users' platform on loopback,
 * runs jobs with steps, a gang and a cancelled one, replaces the owner in the
 * middle, and checks that every accepted job ends as it should.
 *
 * Usage: node dist/tools/job_demo.js
 */
import process from "node:process";
import { formatTable } from "../packages/cli/mod.ts";
import { JobSite } from "../tests/harness/job_site.ts";

const JOBS = 60;
const ARRIVAL_MS = 20;
const WORKERS = 4;

interface DemoJob {
  path: string;
  state: string;
}

const STEP = { count: 2, cpu: 500, mem_mb: 64, estimate_ms: 100 };
const BODIES = [
  { task_spec: "filing", steps: [STEP] },
  { task_spec: "review", steps: [STEP, { ...STEP, after: [0] }] },
  { task_spec: "allocation", steps: [{ ...STEP, count: 4, gang: true }] },
];

const site = new JobSite("127.52.0");
await site.start({ entries: 3, workers: WORKERS });
print(`3 entries and ${WORKERS} workers; sending ${JOBS} jobs`);
const jobs: DemoJob[] = [];
for (let number = 0; number < JOBS; number++) {
  if (number === JOBS / 2) await replaceOwner();
  jobs.push(await submitJob(number));
  await new Promise((resolve) => setTimeout(resolve, ARRIVAL_MS));
}
await site.waitFor(async () => {
  for (const job of jobs) {
    if (job.state !== "completed") job.state = await readState(job.path);
  }
  return jobs.every(({ state }) => state === "completed");
});
const starts = site.workers.flatMap((worker) => worker.starts);
const repeated = starts.length - new Set(starts).size;
print(formatTable([
  ["worker", "starts"],
  ...site.workers.map((each) => [each.id, String(each.starts.length)]),
]));
print(`${jobs.length} jobs completed; ${repeated} tasks started twice`);
await site.stop();
process.exit(repeated === 0 ? 0 : 1);

async function submitJob(number: number): Promise<DemoJob> {
  const path = `/filings/${number.toString(16).padStart(16, "0")}`;
  const body = BODIES[number % BODIES.length];
  for (let attempt = 0; attempt < 100; attempt++) {
    const entry = (number + attempt) % 3;
    const answer = await site.send(entry, path, { method: "POST", body });
    if (answer.status === 200) return { path, state: "accepted" };
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new Error(`Cannot hand in ${path}`);
}

async function readState(path: string): Promise<string> {
  const answer = await site.send(0, path);
  return String(answer.body.state ?? "");
}

async function replaceOwner(): Promise<void> {
  const owner = site.findOwner();
  await site.entries[owner].node.beginStop();
  print(`entry-${owner} has handed the cell over`);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
