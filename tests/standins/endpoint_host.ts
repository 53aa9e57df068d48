/**
 * Stand-in for the endpoints of one failure domain, each listening on its own
 * address. It starts every task that it is sent, unless a fault says otherwise,
 * and records the starts and ends. A start that exceeds the endpoint's capacity,
 * repeats a task or reaches a leaving endpoint is recorded as a violation.
 *
 * `POST /control` on the control address sets faults, `/history` returns the
 * recorded events.
 *
 * Usage: node endpoint_host.js DOMAIN VMS_FILE CONTROL_HOST CONTROL_PORT
 */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { listen, sendJson } from "./http_server.ts";

/** Faults to inject into endpoints; omitted fields keep their value. */
export interface EndpointFaults {
  /** Ids of the endpoints that the faults apply to. */
  endpoints: string[];
  /** Ends each task 1 ms after its start and answers 500. */
  failing?: boolean;
  /** Reports in the answer to a lease renewal that the endpoint is leaving. */
  leaving?: boolean;
  /** Runs tasks but closes the connection instead of answering. */
  loseAnswers?: boolean;
  /** Announces 1,000 bytes, sends fewer and closes the connection. */
  cutAnswers?: boolean;
  /** Sends the id of another task in the `task-id` header. */
  crossAnswers?: boolean;
  /** Refuses every task with 503 and `task-started: false`. */
  refusing?: boolean;
  /** Address prefixes; connections from matching sources are closed. */
  cutSources?: string[];
}

/** One event of the history that `checkHistory` reads. */
export interface HistoryEvent {
  /** Unix milliseconds. */
  at: number;
  event: "start" | "end" | "violation" | "checkpoint" | "throttle";
  endpoint: string;
  task: string;
  team: string;
  /** The client's reference of the request; empty if the request has none. */
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
  /** `ref` of the payload; empty if the payload has none. */
  ref: string;
  leaseEndsAt: number;
  /** Timer for the end of the task; unset for a service. */
  timer: NodeJS.Timeout | undefined;
  /** Ends the task early and answers the request that waits for it, if any. */
  stop: () => void;
}

const history: HistoryEvent[] = [];
/** Number of starts by reference. */
const startsByRef = new Map<string, number>();
/** Id of the endpoint that runs the task with this reference. */
const endpointByRef = new Map<string, string>();

class HostedEndpoint {
  readonly vm: Vm;
  readonly tasks = new Map<string, Task>();
  faults: Omit<EndpointFaults, "endpoints"> = {};
  /** Usage at the last lease renewal; the answer to the next one reports it. */
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
    if (this.#isBlocked(source)) {
      response.destroy();
      return;
    }
    const url = request.url ?? "";
    if (url === "/v1/tasks") return this.#start(request, response, body);
    if (url === "/v1/lease") return this.#renewLease(response, body);
    const action = /^\/v1\/tasks\/([^/]+)\/(checkpoint|throttle)$/.exec(url);
    if (action) return this.#recordAction(response, action[1], action[2]);
    const stop = /^\/v1\/tasks\/([^/]+)\/stop$/.exec(url);
    if (!stop) return sendJson(response, { error: url }, { status: 404 });
    this.tasks.get(stop[1])?.stop();
    sendJson(response, {});
    await Promise.resolve();
  }

  #isBlocked(source: string): boolean {
    const { cutSources = [] } = this.faults;
    return cutSources.some((prefix) => source.startsWith(prefix));
  }

  /** Stops the tasks whose lease has expired. */
  endExpiredTasks(now: number): void {
    for (const task of [...this.tasks.values()]) {
      if (now >= task.leaseEndsAt) task.stop();
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
      leaseEndsAt: Date.now() + message.lease_ms,
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

  /** Records a checkpoint or a throttle of a task in the history. */
  #recordAction(response: ServerResponse, id: string, detail: string): void {
    const task = this.tasks.get(id);
    if (task) {
      recordEvent(detail as "checkpoint", {
        endpoint: this.vm.id,
        task,
        detail,
      });
    }
    sendJson(response, { known: task !== undefined });
  }

  #renewLease(response: ServerResponse, body: string): void {
    const leaseEndsAt = Date.now() + JSON.parse(body).lease_ms;
    const usage = { cores: 0, memoryMb: 0, accelerators: 0 };
    const tasks = [...this.tasks.values()].map((task) => {
      task.leaseEndsAt = leaseEndsAt;
      usage.cores += task.size.cores;
      usage.memoryMb += task.size.memoryMb;
      usage.accelerators += task.size.accelerators;
      const { id, labels, kind, size } = task;
      return { id, labels, kind, size };
    });
    const reportedUsage = this.#lastUsage;
    this.#lastUsage = usage;
    sendJson(response, {
      tasks,
      usage: reportedUsage,
      leaving: !!this.faults.leaving,
    });
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
    if (loseAnswers || this.#isBlocked(source)) {
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

  /** Records a start and the rules and limits that it violates. */
  #checkStart(task: Task): void {
    recordEvent("start", {
      endpoint: this.vm.id,
      task,
      detail: task.labels.starter,
    });
    const recordViolation = (detail: string) =>
      recordEvent("violation", { endpoint: this.vm.id, task, detail });
    const allTasks = [...this.tasks.values(), task];
    const sumSizes = (pick: (size: Size) => number) =>
      allTasks.reduce((total, { size }) => total + pick(size), 0);
    const { size, slots, connections } = this.vm;
    if (allTasks.length > slots) {
      recordViolation(`${allTasks.length} tasks on ${slots} slots`);
    }
    if (allTasks.length > connections) recordViolation("too many connections");
    if (sumSizes((demand) => demand.cores) > size.cores) {
      recordViolation("out of cores");
    }
    if (sumSizes((demand) => demand.memoryMb) > size.memoryMb) {
      recordViolation("out of memory");
    }
    if (sumSizes((demand) => demand.accelerators) > size.accelerators) {
      recordViolation("out of accelerators");
    }
    if (this.tasks.has(task.id)) recordViolation("task id is already running");
    if (this.faults.leaving) {
      recordViolation("task started on a leaving endpoint");
    }
    this.#checkSingleStart(task, recordViolation);
  }

  #checkSingleStart(
    task: Task,
    recordViolation: (detail: string) => void,
  ): void {
    if (task.ref === "") return;
    const currentEndpoint = endpointByRef.get(task.ref);
    if (currentEndpoint) {
      recordViolation(`runs on ${currentEndpoint} at the same time`);
    }
    endpointByRef.set(task.ref, this.vm.id);
    const starts = (startsByRef.get(task.ref) ?? 0) + 1;
    startsByRef.set(task.ref, starts);
    if (starts > 1) recordViolation(`started ${starts} times`);
  }

  #end(task: Task, detail: string): void {
    if (!this.tasks.delete(task.id)) return;
    if (endpointByRef.get(task.ref) === this.vm.id) {
      endpointByRef.delete(task.ref);
    }
    recordEvent("end", { endpoint: this.vm.id, task, detail });
  }
}

function recordEvent(
  event: HistoryEvent["event"],
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

function handleControl(
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): void {
  if (request.url === "/history") return sendJson(response, history);
  const { endpoints: ids, ...faultChanges }: EndpointFaults = JSON.parse(body);
  for (const id of ids) {
    const endpoint = endpoints.get(id);
    if (endpoint) Object.assign(endpoint.faults, faultChanges);
  }
  sendJson(response, {});
}

const [domain, vmsFile, controlHost, controlPort] = process.argv.slice(2);
const endpoints = new Map<string, HostedEndpoint>();
const vms: Vm[] = JSON.parse(readFileSync(vmsFile, "utf8"));
for (const vm of vms) {
  if (vm.role !== "endpoint" || vm.domain !== domain) continue;
  const endpoint = new HostedEndpoint(vm);
  endpoints.set(vm.id, endpoint);
  const [host, port] = vm.address.split(":");
  await listen(
    { host, port: Number(port) },
    (request, response, body) => endpoint.serve(request, response, body),
  );
}
await listen({ host: controlHost, port: Number(controlPort) }, handleControl);
setInterval(() => {
  for (const endpoint of endpoints.values()) {
    endpoint.endExpiredTasks(Date.now());
  }
}, 100);
process.stdout.write("ready\n");
