/**
 * Submits jobs at a steady rate and asks for their states, as a process of its own. Each
 * job is retried a few times; connections are kept open.
 */
import process from "node:process";
import { match } from "ts-pattern";
import { Agent, request } from "undici";
import { sleep } from "../../standins/http_server.ts";
import { createRandom } from "../schedule.ts";
import type { CallerCommand, CallerReport, SeriesJob } from "./types.ts";
import { drawJob, SERIES_QUEUES } from "./workload.ts";

const DEADLINE_MS = 3_000;
const TIMEOUT_MS = 4_000;
const MAX_SUBMITS = 5;
const RETRY_MS = 300;
const MAX_RETRY_MS = 2_000;
/** Time until the state of a job is asked for, in milliseconds; doubles each time. */
const FIRST_LOOK_MS = 3_000;
const ENDED = new Set(["completed", "failed", "cancelled"]);

const agent = new Agent({ connections: 8, keepAliveTimeout: 60_000 });
let random = createRandom(0);
let urls: string[] = [];

function report(message: CallerReport): void {
  process.send?.(message);
}

async function call(
  job: { id: string; queue: number },
  body?: string,
): Promise<{ status: number; state: string; retryAfterMs: number }> {
  const url = urls[random.drawInt(urls.length)];
  try {
    const answer = await request(
      `${url}/${SERIES_QUEUES[job.queue].name}/${job.id}`,
      {
        method: body ? "POST" : "GET",
        headers: {
          host: "desk.example",
          "x-api-key": "key-1",
          "deadline-ms": String(DEADLINE_MS),
          "content-type": "application/json",
        },
        body,
        dispatcher: agent,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      },
    );
    const text = await answer.body.text();
    const seconds = Number(answer.headers["retry-after"] ?? 0);
    const { state = "" } = JSON.parse(text) as { state?: string };
    return {
      status: answer.statusCode,
      state,
      retryAfterMs: seconds > 0 ? seconds * 1_000 : RETRY_MS,
    };
  } catch {
    return { status: 0, state: "", retryAfterMs: RETRY_MS };
  }
}

async function submit(job: SeriesJob): Promise<void> {
  report({ kind: "job", at: Date.now(), job });
  const body = JSON.stringify({
    task_spec: job.payload,
    steps: job.steps.map((step) => ({
      count: step.tasks,
      cpu: step.milliCores,
      mem_mb: step.memoryMb,
      estimate_ms: step.runMs,
      after: step.after,
    })),
  });
  for (let attempt = 0; attempt < MAX_SUBMITS; attempt++) {
    const { status, retryAfterMs } = await call(job, body);
    report({ kind: "answer", at: Date.now(), job: job.id, status });
    if (status === 200) return await watch(job);
    await sleep(Math.min(retryAfterMs, MAX_RETRY_MS));
  }
}

async function watch(job: SeriesJob): Promise<void> {
  for (let pauseMs = FIRST_LOOK_MS;; pauseMs *= 2) {
    await sleep(pauseMs);
    if (ENDED.has(await look(job.id))) return;
  }
}

async function look(id: string): Promise<string> {
  const { status, state } = await call({ id, queue: Number(id[0]) });
  report({ kind: "state", at: Date.now(), job: id, status, state });
  return state;
}

async function submitAll(
  { seed, seconds, jobsPerSecond }: CallerCommand & { kind: "open" },
): Promise<void> {
  const draws = createRandom(seed);
  const startedAt = Date.now();
  const count = Math.round(seconds * jobsPerSecond);
  for (let number = 0; number < count; number++) {
    await sleep(startedAt + number * 1_000 / jobsPerSecond - Date.now());
    void submit(drawJob(draws, number));
  }
  report({ kind: "submitted" });
}

process.on("message", (command: CallerCommand) => {
  match(command)
    .with({ kind: "open" }, (open) => {
      urls = open.urls;
      random = createRandom(open.seed + 1);
      void submitAll(open);
    })
    .with({ kind: "ask" }, async ({ jobs }) => {
      await Promise.all(jobs.map(look));
      report({ kind: "asked" });
    })
    .exhaustive();
});
process.on("disconnect", () => process.exit(0));
