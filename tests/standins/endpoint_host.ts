/**
 * Stand-in for the endpoints of one failure domain, each at its own address.
 * It takes everything that it is given, counts it, and records a violation
 * when an endpoint is over its size or a task starts twice.
 *
 * Usage: node endpoint_host.js DOMAIN VMS_FILE CONTROL_HOST CONTROL_PORT
 */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { listen, sendJson } from "./http_server.ts";

/** Faults of one endpoint; what is left out stays as it is. */
export interface EndpointFaults {
  endpoints: string[];
  /** Answers 500 to each task right after it started. */
  failing?: boolean;
  /** Says that it is leaving. */
  leaving?: boolean;
  /** Runs tasks but closes the connection instead of answering. */
  loseAnswers?: boolean;
  /** Sends half of the answer and closes the connection. */
  cutAnswers?: boolean;
  /** Answers with the id of another task. */
  crossAnswers?: boolean;
  /** Refuses every task as not started. */
  refusing?: boolean;
  /** Source addresses, by prefix, whose connections are cut. */
  cutSources?: string[];
}

/** One line of the history that a checker reads. */
export interface HistoryLine {
  at: number;
  event: "start" | "end" | "violation" | "checkpoint" | "throttle";
  endpoint: string;
  task: string;
  team: string;
  ref: string;
  detail: string;
}

interface Size {
  cores: number;
  memoryMb: number;
  accelerators: number;
}

interface Vm {
  id: string;
  role: string;
  domain: string;
  address: string;
  size: Size;
  slots: number;
  connections: number;
}

interface Task {
  id: string;
  labels: { team: string; starter: string; queue: string };
  kind: string;
  size: Size;
  ref: string;
  leaseEnds: number;
  timer: NodeJS.Timeout | undefined;
  stop: () => void;
}

const history: HistoryLine[] = [];
const startsByRef = new Map<string, number>();
const runningByRef = new Map<string, string>();

class StandInEndpoint {
  readonly vm: Vm;
  readonly tasks = new Map<string, Task>();
  faults: Omit<EndpointFaults, "endpoints"> = {};
  /** Use at the last report: what is told lags behind by one. */
  #lastUsage: Size = { cores: 0, memoryMb: 0, accelerators: 0 };

  constructor(vm: Vm) {
    this.vm = vm;
  }

  async serve(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const source = request.socket.remoteAddress ?? "";
    if (this.#isCut(source)) {
      response.destroy();
      return;
    }
    const url = request.url ?? "";
    if (url === "/v1/tasks") return this.#start(request, response, body);
    if (url === "/v1/lease") return this.#renew(response, body);
    const action = /^\/v1\/tasks\/([^/]+)\/(checkpoint|throttle)$/.exec(url);
    if (action) return this.#mark(response, action[1], action[2]);
    const stop = /^\/v1\/tasks\/([^/]+)\/stop$/.exec(url);
    if (!stop) return sendJson(response, { error: url }, { status: 404 });
    this.tasks.get(stop[1])?.stop();
    sendJson(response, {});
    await Promise.resolve();
  }

  #isCut(source: string): boolean {
    const { cutSources = [] } = this.faults;
    return cutSources.some((prefix) => source.startsWith(prefix));
  }

  endExpired(now: number): void {
    for (const task of [...this.tasks.values()]) {
      if (now >= task.leaseEnds) task.stop();
    }
  }

  #start(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const message = JSON.parse(body);
    const headers = { "task-id": String(request.headers["task-id"]) };
    if (this.faults.refusing) {
      const refusal = { ...headers, "task-started": "false" };
      return sendJson(response, {}, { status: 503, headers: refusal });
    }
    const payload = JSON.parse(message.payload) ?? {};
    const task: Task = {
      id: message.id,
      labels: message.labels,
      kind: message.kind,
      size: message.size,
      ref: String(payload.ref ?? ""),
      leaseEnds: Date.now() + message.lease_ms,
      timer: undefined,
      stop: () => {},
    };
    this.#checkStart(task);
    this.tasks.set(task.id, task);
    if (message.kind === "service") {
      task.stop = () => this.#end(task, "stopped");
      return this.#answer(response, { task, payload, status: 201, headers });
    }
    task.stop = () => {
      clearTimeout(task.timer);
      this.#end(task, "stopped");
      const stopped = { ...headers, "task-stopped": "true" };
      sendJson(response, {}, { status: 409, headers: stopped });
    };
    task.timer = setTimeout(() => {
      this.#end(task, "completed");
      this.#answer(response, { task, payload, status: 200, headers });
    }, this.faults.failing ? 1 : Number(payload.run_ms ?? 10));
  }

  /** Notes a checkpoint or a throttle in the history. */
  #mark(response: ServerResponse, id: string, detail: string): void {
    const task = this.tasks.get(id);
    if (task) {
      record(detail as "checkpoint", { endpoint: this.vm.id, task, detail });
    }
    sendJson(response, { known: task !== undefined });
  }

  #renew(response: ServerResponse, body: string): void {
    const leaseEnds = Date.now() + JSON.parse(body).lease_ms;
    const usage = { cores: 0, memoryMb: 0, accelerators: 0 };
    const tasks = [...this.tasks.values()].map((task) => {
      task.leaseEnds = leaseEnds;
      usage.cores += task.size.cores;
      usage.memoryMb += task.size.memoryMb;
      usage.accelerators += task.size.accelerators;
      const { id, labels, kind, size } = task;
      return { id, labels, kind, size };
    });
    const told = this.#lastUsage;
    this.#lastUsage = usage;
    sendJson(response, { tasks, usage: told, leaving: !!this.faults.leaving });
  }

  #answer(
    response: ServerResponse,
    answer: {
      task: Task;
      payload: unknown;
      status: number;
      headers: Record<string, string>;
    },
  ): void {
    const { task, payload, headers } = answer;
    const { failing, loseAnswers, cutAnswers, crossAnswers } = this.faults;
    const source = response.socket?.remoteAddress ?? "";
    if (loseAnswers || this.#isCut(source)) {
      response.destroy();
      return;
    }
    if (crossAnswers) headers["task-id"] = "another-task";
    const digest = createHash("sha256").update(JSON.stringify(payload))
      .digest("hex");
    const body = { ref: task.ref, digest, endpoint: this.vm.id };
    if (cutAnswers) {
      response.writeHead(200, { ...headers, "content-length": "1000" });
      response.write(JSON.stringify(body));
      setTimeout(() => response.destroy(), 5);
      return;
    }
    const status = failing ? 500 : answer.status;
    sendJson(response, body, { status, headers });
  }

  #checkStart(task: Task): void {
    record("start", {
      endpoint: this.vm.id,
      task,
      detail: task.labels.starter,
    });
    const recordViolation = (detail: string) =>
      record("violation", { endpoint: this.vm.id, task, detail });
    const all = [...this.tasks.values(), task];
    const sum = (pick: (size: Size) => number) =>
      all.reduce((total, { size }) => total + pick(size), 0);
    const { size, slots, connections } = this.vm;
    if (all.length > slots) {
      recordViolation(`${all.length} tasks on ${slots} slots`);
    }
    if (all.length > connections) recordViolation("too many connections");
    if (sum((of) => of.cores) > size.cores) recordViolation("out of cores");
    if (sum((of) => of.memoryMb) > size.memoryMb) {
      recordViolation("out of memory");
    }
    if (sum((of) => of.accelerators) > size.accelerators) {
      recordViolation("out of accelerators");
    }
    if (this.tasks.has(task.id)) recordViolation("task id runs already");
    if (this.faults.leaving) recordViolation("leaving endpoint got work");
    this.#checkReference(task, recordViolation);
  }

  #checkReference(task: Task, recordViolation: (detail: string) => void): void {
    if (task.ref === "") return;
    const other = runningByRef.get(task.ref);
    if (other) recordViolation(`runs on ${other} at the same time`);
    runningByRef.set(task.ref, this.vm.id);
    const starts = (startsByRef.get(task.ref) ?? 0) + 1;
    startsByRef.set(task.ref, starts);
    if (starts > 1) recordViolation(`started ${starts} times`);
  }

  #end(task: Task, detail: string): void {
    if (!this.tasks.delete(task.id)) return;
    if (runningByRef.get(task.ref) === this.vm.id) {
      runningByRef.delete(task.ref);
    }
    record("end", { endpoint: this.vm.id, task, detail });
  }
}

function record(
  event: HistoryLine["event"],
  options: { endpoint: string; task: Task; detail: string },
): void {
  const { endpoint, task, detail } = options;
  history.push({
    at: Date.now(),
    event,
    endpoint,
    task: task.id,
    team: task.labels.team,
    ref: task.ref,
    detail,
  });
}

function control(
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): void {
  if (request.url === "/history") return sendJson(response, history);
  const { endpoints: ids, ...change }: EndpointFaults = JSON.parse(body);
  for (const id of ids) {
    const endpoint = endpoints.get(id);
    if (endpoint) Object.assign(endpoint.faults, change);
  }
  sendJson(response, {});
}

const [domain, vmsFile, controlHost, controlPort] = process.argv.slice(2);
const endpoints = new Map<string, StandInEndpoint>();
const vms: Vm[] = JSON.parse(readFileSync(vmsFile, "utf8"));
for (const vm of vms) {
  if (vm.role !== "endpoint" || vm.domain !== domain) continue;
  const endpoint = new StandInEndpoint(vm);
  endpoints.set(vm.id, endpoint);
  const [host, port] = vm.address.split(":");
  await listen(
    { host, port: Number(port) },
    (request, response, body) => endpoint.serve(request, response, body),
  );
}
await listen({ host: controlHost, port: Number(controlPort) }, control);
setInterval(() => {
  for (const endpoint of endpoints.values()) endpoint.endExpired(Date.now());
}, 100);
process.stdout.write("ready\n");
