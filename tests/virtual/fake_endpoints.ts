import {
  BodyEncoding,
  NotSentError,
  type Random,
  UnknownEffectError,
  WorkKind,
} from "../../packages/base/mod.ts";
import {
  type EndpointAddress,
  EndpointClient,
  type EndpointListing,
  type TaskResult,
  TaskResultKind,
  type TaskStart,
} from "../../packages/endpoints/mod.ts";
import type { Vm } from "../../packages/platform/mod.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Longest way of a start whose connection is lost, in milliseconds. */
const LATE_START_MS = 600;

/** Time in which an endpoint that leaves may still get work, in ms. */
const LEAVING_GRACE_MS = 3_000;

interface RunningTask {
  start: TaskStart;
  leaseEnds: number;
  finish: (result: TaskResult) => void;
}

/** One task start, as the endpoint saw it. */
export interface StartRecord {
  at: number;
  endpoint: string;
  task: string;
  team: string;
  ref: string;
}

/** All endpoints: they take what they are given and record what is wrong. */
export class FakeEndpoints {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly vms = new Map<string, Vm>();
  readonly starts: StartRecord[] = [];
  readonly violations: string[] = [];
  readonly unreachable = new Set<string>();
  /** Since when an endpoint says that it is leaving. */
  readonly leavingSince = new Map<string, number>();
  readonly running = new Map<string, Map<string, RunningTask>>();
  readonly #teams = new Map<string, number>();
  /** Most that a team may run; checked at each start. */
  findLimitOf: (team: string) => number = () => Infinity;
  checks = 0;
  /** Part of the starts that are refused, or whose answer is lost. */
  refused = 0;
  lost = 0;

  constructor(time: VirtualTime, random: Random) {
    this.time = time;
    this.random = random;
  }

  /** Adds an endpoint. */
  add(vm: Vm): void {
    this.vms.set(vm.id, vm);
    this.running.set(vm.id, new Map());
  }

  /** Ends an endpoint's VM with all its tasks. */
  remove(id: string): void {
    for (const task of [...this.running.get(id)?.keys() ?? []]) {
      this.#end(id, task);
    }
    this.vms.delete(id);
  }

  /** Lists the tasks of an endpoint and renews their leases. */
  renew(id: string, leaseMs: number): EndpointListing {
    const tasks = [...this.running.get(id)!.values()].map((task) => {
      task.leaseEnds = this.time.now + leaseMs;
      const { id, labels, kind, size } = task.start;
      return { id, labels, kind, size };
    });
    const usage = { cores: 0, memoryMb: 0, accelerators: 0 };
    return { tasks, usage, leaving: this.leavingSince.has(id) };
  }

  /** Starts a task; `finish` is called with its result. */
  start(
    id: string,
    start: TaskStart,
    finish: (result: TaskResult) => void,
  ): void {
    const { ref, run_ms } = JSON.parse(start.payload);
    const { team } = start.labels;
    const at = this.time.now;
    this.starts.push({ at, endpoint: id, task: start.id, team, ref });
    const tasks = this.running.get(id)!;
    if (tasks.has(start.id)) this.#recordViolation(`${start.id} runs already`);
    const leaseEnds = at + start.leaseMs;
    tasks.set(start.id, { start, leaseEnds, finish });
    this.#teams.set(team, (this.#teams.get(team) ?? 0) + 1);
    this.#checkEndpoint(id, start);
    if (start.kind === WorkKind.Service) {
      finish({
        kind: TaskResultKind.Running,
        answer: this.#makeAnswer(id, start),
      });
      this.#watchLease(id, start.id);
      return;
    }
    this.time.schedule("endpoints", run_ms, () => {
      if (!this.#end(id, start.id)) return;
      const answer = this.#makeAnswer(id, start);
      finish({ kind: TaskResultKind.Answered, answer });
    });
  }

  /** Stops a task. */
  stop(id: string, task: string): void {
    const running = this.running.get(id)?.get(task);
    if (!running || !this.#end(id, task)) return;
    running.finish({ kind: TaskResultKind.Stopped, detail: "stopped" });
  }

  /** Stops all services. */
  stopServices(): void {
    for (const [id, tasks] of this.running) {
      for (const { start } of [...tasks.values()]) {
        if (start.kind === WorkKind.Service) this.#end(id, start.id);
      }
    }
  }

  #watchLease(id: string, task: string): void {
    const running = this.running.get(id)?.get(task);
    if (!running) return;
    const left = running.leaseEnds - this.time.now;
    if (left <= 0) {
      this.#end(id, task);
      return;
    }
    this.time.schedule("endpoints", left, () => this.#watchLease(id, task));
  }

  #end(id: string, task: string): boolean {
    const running = this.running.get(id)?.get(task);
    if (!running) return false;
    this.running.get(id)!.delete(task);
    const { team } = running.start.labels;
    this.#teams.set(team, this.#teams.get(team)! - 1);
    return true;
  }

  #checkEndpoint(id: string, start: TaskStart): void {
    this.checks += 1;
    const vm = this.vms.get(id)!;
    const tasks = [...this.running.get(id)!.values()];
    const leaving = this.leavingSince.get(id) ?? Infinity;
    if (this.time.now > leaving + LEAVING_GRACE_MS) {
      this.#recordViolation(`${id} got work while leaving`);
    }
    const cores = tasks.reduce((sum, task) => sum + task.start.size.cores, 0);
    if (tasks.length > vm.slots) {
      this.#recordViolation(
        `${id} runs ${tasks.length} tasks on ${vm.slots} slots`,
      );
    }
    if (cores > vm.size.cores) {
      this.#recordViolation(`${id} gives ${cores} of ${vm.size.cores} cores`);
    }
    const { team } = start.labels;
    const count = this.#teams.get(team)!;
    const limit = this.findLimitOf(team);
    if (count > limit) {
      this.#recordViolation(`${team} runs ${count} tasks, limit ${limit}`);
    }
  }

  #recordViolation(text: string): void {
    this.violations.push(`${this.time.now}: ${text}`);
  }

  #makeAnswer(id: string, start: TaskStart) {
    return {
      task: start.id,
      endpoint: id,
      status: 200,
      contentType: "application/json",
      encoding: BodyEncoding.Utf8,
      body: start.payload,
    };
  }
}

/** One process's connections to the endpoints. */
export class FakeEndpointClient extends EndpointClient {
  readonly #endpoints: FakeEndpoints;
  readonly #lane: string;

  constructor(endpoints: FakeEndpoints, lane: string) {
    super();
    this.#endpoints = endpoints;
    this.#lane = lane;
  }

  override start(
    endpoint: EndpointAddress,
    task: TaskStart,
  ): Promise<TaskResult> {
    const { time, random } = this.#endpoints;
    return new Promise((resolve) => {
      const tell = (ms: number, result: TaskResult) =>
        time.schedule(this.#lane, ms, () => resolve(result));
      const notStarted = (reachable: boolean): TaskResult => ({
        kind: TaskResultKind.NotStarted,
        detail: "not started",
        reachable,
      });
      const unknown: TaskResult = {
        kind: TaskResultKind.Unknown,
        detail: "connection lost",
      };
      if (!this.#isReachable(endpoint.id)) return tell(1, notStarted(false));
      if (random.drawFloat() < this.#endpoints.refused) {
        return tell(2, notStarted(true));
      }
      const isLost = random.drawFloat() < this.#endpoints.lost;
      tell(Math.max(1, task.timeoutMs), unknown);
      if (isLost) tell(5 + random.drawInt(50), unknown);
      const isLate = isLost && random.drawFloat() < 0.3;
      const travelMs = 1 + random.drawInt(isLate ? LATE_START_MS : 4);
      const arrive = () => {
        if (!this.#isReachable(endpoint.id)) return;
        this.#endpoints.start(endpoint.id, task, (result) => {
          if (!isLost) tell(1 + random.drawInt(4), result);
        });
      };
      // A process may be frozen or end between its decision and the send.
      time.schedule(this.#lane, random.drawInt(4), () => {
        time.schedule("endpoints", travelMs, arrive);
      });
    });
  }

  override renewLeases(
    endpoint: EndpointAddress,
    leaseMs: number,
  ): Promise<EndpointListing> {
    const { time, random } = this.#endpoints;
    return new Promise((resolve, reject) => {
      if (!this.#isReachable(endpoint.id)) {
        time.schedule(this.#lane, 1, () => reject(new NotSentError("refused")));
        return;
      }
      time.schedule("endpoints", 1 + random.drawInt(4), () => {
        if (!this.#isReachable(endpoint.id)) {
          const error = new UnknownEffectError("lost");
          time.schedule(this.#lane, 1, () => reject(error));
          return;
        }
        const listing = this.#endpoints.renew(endpoint.id, leaseMs);
        const copy = structuredClone(listing);
        time.schedule(this.#lane, 1 + random.drawInt(4), () => resolve(copy));
      });
    });
  }

  override stop(endpoint: EndpointAddress, task: string): Promise<void> {
    const { time } = this.#endpoints;
    time.schedule("endpoints", 2, () => {
      if (this.#isReachable(endpoint.id)) {
        this.#endpoints.stop(endpoint.id, task);
      }
    });
    return Promise.resolve();
  }

  override async close(): Promise<void> {}

  #isReachable(id: string): boolean {
    return this.#endpoints.vms.has(id) && !this.#endpoints.unreachable.has(id);
  }
}
