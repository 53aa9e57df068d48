import { Buffer } from "node:buffer";
import { Client } from "undici";
import type { Random } from "../../packages/base/mod.ts";
import { sleep } from "../standins/http_server.ts";
import { formatTaskCrash, type TaskCrash } from "../standins/task_crash.ts";
import { MAX_RUN_MS, MAX_STEPS } from "./constants.ts";
import {
  CallKind,
  type SoakCall,
  type SoakEvent,
  SoakEventKind,
  type SoakJob,
  type SoakStep,
} from "./types.ts";

/** Size of a payload, in bytes: near the limit of 4,000, with room for a marker. */
const PAYLOAD_BYTES = 3_800;
const LETTERS = ["x", "ñ", "牛", "𠮷"];
/** Time that a caller allows for an answer, in milliseconds. */
const DEADLINE_MS = 3_000;
/** Time after which a caller ends the wait for an answer, in milliseconds. */
const TIMEOUT_MS = 4_000;
/** Largest number of calls that submit one job. */
const MAX_SUBMITS = 6;
const RETRY_MS = 200;
const MAX_RETRY_MS = 2_000;
/** Pause between two actions of a caller, in milliseconds. */
const ACTION_PAUSE_MS = 900;
/**
 * Pauses between two calls around a planned stop, in milliseconds, by the number
 * of the caller: also connections that are idle for a while are used on.
 */
const PRESS_PAUSES_MS = [20, 20, 200, 700];
/** Shares of a caller's actions; the others ask for the state of a job. */
const SUBMIT_RATIO = 0.4;
const CANCEL_RATIO = 0.03;
/** Share of the submitted jobs that are submitted again seconds later. */
const REPEAT_RATIO = 0.1;
/** Share of the calls that use a withdrawn key, if there is one. */
const OLD_KEY_RATIO = 0.1;
const SMALL_STEP: SoakStep = {
  tasks: 1,
  milliCores: 100,
  memoryMb: 50,
  after: [],
  runMs: 50,
};
/** Largest number of tasks of a job that crashes endpoints. */
const MAX_CRASHING_TASKS = 2;
const LONG_TASK_RATIO = 0.25;
const SHORT_TASK_MS = 800;

const END_STATES = new Set(["completed", "failed", "cancelled"]);
const STATES = new Set([
  "pending",
  "running",
  "completed",
  "failed",
  "cancelled",
]);

/** What callers learn from the operators and the load balancer. */
export interface CallerView {
  /** The newest key first, then withdrawn ones. */
  keys: string[];
  /** Entries that get new connections. */
  rotation: number[];
  getUrl: (entry: number) => string;
}

/** The dependencies and settings of a `SoakCaller`. */
export interface CallerParts {
  /** Number of the caller, from 0. */
  number: number;
  host: string;
  random: Random;
  view: CallerView;
  onEvent: (event: SoakEvent) => void;
}

/**
 * Submits jobs and asks for their states. Keeps a connection to an entry until
 * it breaks, retries elsewhere and follows `retry-after`.
 */
export class SoakCaller {
  readonly #parts: CallerParts;
  readonly #clients = new Map<number, Client>();
  readonly #openJobs: SoakJob[] = [];
  #entry = -1;
  #lastJobNumber = 0;
  #isStopped = false;

  constructor(parts: CallerParts) {
    this.#parts = parts;
  }

  /** Acts until `stop` is called; resolves after the last call. */
  async run(): Promise<void> {
    const { random } = this.#parts;
    while (!this.#isStopped) {
      await sleep(random.drawInt(2 * ACTION_PAUSE_MS));
      const draw = random.drawFloat();
      const job = this.#openJobs[random.drawInt(this.#openJobs.length + 1)];
      if (draw < SUBMIT_RATIO || !job) await this.submitJob(this.#drawJob());
      else if (draw < SUBMIT_RATIO + CANCEL_RATIO) await this.#cancelJob(job);
      else if (draw > 1 - SUBMIT_RATIO * REPEAT_RATIO) {
        await this.#call(CallKind.Submit, job);
      } else await this.findJob(job.id);
    }
  }

  /**
   * Submits small jobs to this entry, one after the other, until its connection
   * has ended and the load balancer sends it no new ones, or the time is over.
   */
  async pressEntry(entry: number, forMs: number): Promise<void> {
    const deadline = Date.now() + forMs;
    const { view, number } = this.#parts;
    while (Date.now() < deadline && !this.#isStopped) {
      if (!this.#clients.has(entry) && !view.rotation.includes(entry)) return;
      await this.submitTo(entry, { isSmall: true });
      await sleep(PRESS_PAUSES_MS[number % PRESS_PAUSES_MS.length]);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  async close(): Promise<void> {
    const clients = [...this.#clients.values()];
    this.#clients.clear();
    await Promise.all(clients.map((client) => client.destroy()));
  }

  /** Submits a job until it is accepted or often enough; returns if it was. */
  async submitJob(job: SoakJob): Promise<boolean> {
    const { random, onEvent } = this.#parts;
    onEvent({ kind: SoakEventKind.Job, at: Date.now(), job });
    for (let attempt = 0; attempt < MAX_SUBMITS; attempt++) {
      const { call, retryAfterMs } = await this.#call(CallKind.Submit, job);
      if (call.status === 200) {
        this.#openJobs.push(job);
        return true;
      }
      this.#chooseOtherEntry();
      const pauseMs = retryAfterMs ?? RETRY_MS + random.drawInt(RETRY_MS);
      await sleep(Math.min(pauseMs, MAX_RETRY_MS));
    }
    return false;
  }

  /** Submits a job whose tasks crash each endpoint that starts them. */
  async submitCrashingJob(crash: TaskCrash): Promise<boolean> {
    const job = this.#drawJob();
    const [step] = job.steps;
    const tasks = Math.min(step.tasks, MAX_CRASHING_TASKS);
    job.payload += `; ${formatTaskCrash(crash)}`;
    job.steps = [{ ...step, tasks, runMs: MAX_RUN_MS }];
    return await this.submitJob(job);
  }

  /** Submits a job once to this entry; returns the status of the answer. */
  async submitTo(
    entry: number,
    { isSmall = false }: { isSmall?: boolean } = {},
  ): Promise<number> {
    const job = this.#drawJob();
    if (isSmall) job.steps = [SMALL_STEP];
    this.#parts.onEvent({ kind: SoakEventKind.Job, at: Date.now(), job });
    this.#entry = entry;
    const { call } = await this.#call(CallKind.Submit, job);
    return call.status;
  }

  /** Asks for the state of a job; returns it, or "" without one. */
  async findJob(id: string): Promise<string> {
    const { call } = await this.#call(CallKind.Find, { id });
    const isOver = END_STATES.has(call.state);
    const index = this.#openJobs.findIndex((job) => job.id === id);
    if (isOver && index >= 0) this.#openJobs.splice(index, 1);
    if (call.status !== 200) this.#chooseOtherEntry();
    return call.state;
  }

  async #cancelJob(job: SoakJob): Promise<void> {
    const { call } = await this.#call(CallKind.Cancel, job);
    if (call.status !== 200) this.#chooseOtherEntry();
  }

  #drawJob(): SoakJob {
    const { random, number } = this.#parts;
    const jobNumber = ++this.#lastJobNumber;
    const id = number.toString(16).padStart(4, "0") +
      jobNumber.toString(16).padStart(12, "0");
    const stepCount = 1 + random.drawInt(MAX_STEPS);
    const steps = Array.from({ length: stepCount }, (_, step): SoakStep => ({
      tasks: 1 + random.drawInt(4),
      milliCores: 200 + random.drawInt(1_200),
      memoryMb: 100 + random.drawInt(900),
      after: step > 0 ? [step - 1] : [],
      runMs: random.drawFloat() < LONG_TASK_RATIO
        ? SHORT_TASK_MS + random.drawInt(MAX_RUN_MS - SHORT_TASK_MS)
        : 50 + random.drawInt(SHORT_TASK_MS),
    }));
    return { id, payload: makePayload(id, jobNumber), steps };
  }

  #chooseOtherEntry(): void {
    const { view, random } = this.#parts;
    const others = view.rotation.filter((entry) => entry !== this.#entry);
    this.#entry = others[random.drawInt(others.length)] ?? this.#entry;
  }

  #getClient(entry: number): Client {
    const known = this.#clients.get(entry);
    if (known) return known;
    const { host, view } = this.#parts;
    const client = new Client(view.getUrl(entry), {
      connect: { timeout: TIMEOUT_MS },
      localAddress: host,
      keepAliveTimeout: 60_000,
    });
    client.on("disconnect", () => {
      if (this.#clients.get(entry) === client) this.#clients.delete(entry);
      if (this.#entry === entry) this.#entry = -1;
    });
    this.#clients.set(entry, client);
    return client;
  }

  async #call(
    kind: CallKind,
    job: { id: string; payload?: string; steps?: SoakStep[] },
  ): Promise<{ call: SoakCall; retryAfterMs?: number }> {
    const { random, view, onEvent } = this.#parts;
    if (this.#entry < 0) this.#chooseOtherEntry();
    const oldKeys = view.keys.slice(1);
    const key = oldKeys.length > 0 && random.drawFloat() < OLD_KEY_RATIO
      ? oldKeys[random.drawInt(oldKeys.length)]
      : view.keys[0];
    const call: SoakCall = {
      kind: SoakEventKind.Call,
      at: 0,
      sentAt: Date.now(),
      call: kind,
      entry: this.#entry,
      job: job.id,
      key,
      status: 0,
      state: "",
      isWhole: false,
      detail: "",
      hasTimedOut: false,
      isRefused: false,
    };
    let retryAfterMs: number | undefined;
    try {
      const answer = await this.#getClient(call.entry).request({
        path: `/filings/${job.id}`,
        method: METHODS[kind],
        headers: {
          host: "desk.example",
          "x-api-key": key,
          "deadline-ms": String(DEADLINE_MS),
          "content-type": "application/json",
        },
        body: kind === CallKind.Submit ? encodeJob(job) : undefined,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const text = await answer.body.text();
      call.status = answer.statusCode;
      const seconds = Number(answer.headers["retry-after"]);
      if (seconds > 0) retryAfterMs = seconds * 1_000;
      readAnswer(call, text);
    } catch (error) {
      call.status = 0;
      const { name, code } = error as { name: string; code?: string };
      call.hasTimedOut = name === "TimeoutError";
      // The relay resets a connection that the entry's address refused.
      call.isRefused = code === "ECONNRESET";
      call.detail = String(error);
    }
    call.at = Date.now();
    onEvent(call);
    return { call, retryAfterMs };
  }
}

const METHODS = {
  [CallKind.Submit]: "POST",
  [CallKind.Find]: "GET",
  [CallKind.Cancel]: "DELETE",
} as const;

/** Makes a payload of about `PAYLOAD_BYTES` in letters of one to four bytes. */
function makePayload(id: string, jobNumber: number): string {
  const letter = LETTERS[jobNumber % LETTERS.length];
  const count = Math.floor(PAYLOAD_BYTES / Buffer.byteLength(letter));
  return `payload of ${id} ${letter.repeat(count)}`;
}

function encodeJob(job: { payload?: string; steps?: SoakStep[] }): string {
  return JSON.stringify({
    task_spec: job.payload,
    steps: job.steps?.map((step) => ({
      count: step.tasks,
      cpu: step.milliCores,
      mem_mb: step.memoryMb,
      estimate_ms: step.runMs,
      after: step.after,
    })),
  });
}

function readAnswer(call: SoakCall, text: string): void {
  try {
    const body = JSON.parse(text);
    call.state = String(body.state ?? "");
    call.detail = String(body.error ?? "");
    const isState = call.call === CallKind.Find && call.status === 200;
    call.isWhole = !isState || STATES.has(call.state);
  } catch {
    call.detail = `not JSON: ${text.slice(0, 100)}`;
  }
}
