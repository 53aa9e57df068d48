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

/** Longest delay of a start that arrives after its connection was lost. */
const MAX_LATE_START_DELAY_MS = 600;

/**
 * Time in which a leaving endpoint may still get work, in milliseconds: entries
 * learn of the change only with their next poll.
 */
const LEAVING_GRACE_MS = 3_000;

interface RunningTask {
  start: TaskStart;
  leaseEndsAt: number;
  finish: (result: TaskResult) => void;
}

/** Task start that arrived at an endpoint. */
export interface StartRecord {
  at: number;
  endpoint: string;
  task: string;
  team: string;
  /** Marker of the request, from the payload. */
  ref: string;
}

/**
 * State of all endpoints. They accept every start, and record a violation if it
 * exceeds the slots, the cores or the team's limit, repeats a running task, or
 * arrives after the endpoint has been leaving for `LEAVING_GRACE_MS`.
 */
export class FakeEndpoints {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly vms = new Map<string, Vm>();
  readonly starts: StartRecord[] = [];
  readonly violations: string[] = [];
  readonly unreachable = new Set<string>();
  /** Time since which an endpoint reports that it is leaving, by id. */
  readonly leavingSince = new Map<string, number>();
  /** Running tasks by endpoint and task id. */
  readonly running = new Map<string, Map<string, RunningTask>>();
  /** Number of running tasks by team. */
  readonly #runningByTeam = new Map<string, number>();
  /** Returns how many tasks a team may run at most; checked at each start. */
  findTeamLimit: (team: string) => number = () => Infinity;
  /** Number of starts that were checked. */
  checks = 0;
  /** Share of starts that are refused, from 0 to 1. */
  refusalRate = 0;
  /** Share of starts whose answer is lost, from 0 to 1. */
  lostAnswerRate = 0;

  constructor(time: VirtualTime, random: Random) {
    this.time = time;
    this.random = random;
  }

  /** Adds an endpoint. */
  add(vm: Vm): void {
    this.vms.set(vm.id, vm);
    this.running.set(vm.id, new Map());
  }

  /** Removes an endpoint's VM and ends all its tasks, without a result. */
  remove(id: string): void {
    for (const task of [...this.running.get(id)?.keys() ?? []]) {
      this.#endTask(id, task);
    }
    this.vms.delete(id);
  }

  /** Renews the leases of the tasks of an endpoint and lists these tasks. */
  renewLeases(id: string, leaseMs: number): EndpointListing {
    const tasks = [...this.running.get(id)!.values()].map((task) => {
      task.leaseEndsAt = this.time.now + leaseMs;
      const { id, labels, kind, size } = task.start;
      return { id, labels, kind, size };
    });
    const usage = { cores: 0, memoryMb: 0, accelerators: 0 };
    return { tasks, usage, leaving: this.leavingSince.has(id) };
  }

  /**
   * Starts a task. `finish` receives its result once the task ends or is
   * stopped, but none if its endpoint is removed first. For a service, `finish`
   * is called at once, with the result that it is running.
   */
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
    if (tasks.has(start.id)) {
      this.#recordViolation(`${start.id} is already running`);
    }
    const leaseEndsAt = at + start.leaseMs;
    tasks.set(start.id, { start, leaseEndsAt, finish });
    this.#runningByTeam.set(team, (this.#runningByTeam.get(team) ?? 0) + 1);
    this.#checkStart(id, start);
    if (start.kind === WorkKind.Service) {
      finish({
        kind: TaskResultKind.Running,
        answer: this.#makeAnswer(id, start),
      });
      this.#endTaskAtLeaseExpiry(id, start.id);
      return;
    }
    this.time.schedule("endpoints", run_ms, () => {
      if (!this.#endTask(id, start.id)) return;
      const answer = this.#makeAnswer(id, start);
      finish({ kind: TaskResultKind.Answered, answer });
    });
  }

  /** Stops a task. */
  stop(id: string, task: string): void {
    const running = this.running.get(id)?.get(task);
    if (!running || !this.#endTask(id, task)) return;
    running.finish({ kind: TaskResultKind.Stopped, detail: "stopped" });
  }

  /** Ends all services, without a result. */
  stopServices(): void {
    for (const [id, tasks] of this.running) {
      for (const { start } of [...tasks.values()]) {
        if (start.kind === WorkKind.Service) this.#endTask(id, start.id);
      }
    }
  }

  /** Ends a service once its lease expires without renewal. */
  #endTaskAtLeaseExpiry(id: string, task: string): void {
    const running = this.running.get(id)?.get(task);
    if (!running) return;
    const remainingMs = running.leaseEndsAt - this.time.now;
    if (remainingMs <= 0) {
      this.#endTask(id, task);
      return;
    }
    this.time.schedule(
      "endpoints",
      remainingMs,
      () => this.#endTaskAtLeaseExpiry(id, task),
    );
  }

  /** Removes a running task; returns false if the task does not run. */
  #endTask(id: string, task: string): boolean {
    const running = this.running.get(id)?.get(task);
    if (!running) return false;
    this.running.get(id)!.delete(task);
    const { team } = running.start.labels;
    this.#runningByTeam.set(team, this.#runningByTeam.get(team)! - 1);
    return true;
  }

  #checkStart(id: string, start: TaskStart): void {
    this.checks += 1;
    const vm = this.vms.get(id)!;
    const tasks = [...this.running.get(id)!.values()];
    const leavingAt = this.leavingSince.get(id) ?? Infinity;
    if (this.time.now > leavingAt + LEAVING_GRACE_MS) {
      this.#recordViolation(`${id} received work while leaving`);
    }
    const cores = tasks.reduce((sum, task) => sum + task.start.size.cores, 0);
    if (tasks.length > vm.slots) {
      this.#recordViolation(
        `${id} runs ${tasks.length} tasks on ${vm.slots} slots`,
      );
    }
    if (cores > vm.size.cores) {
      this.#recordViolation(`${id} uses ${cores} of ${vm.size.cores} cores`);
    }
    const { team } = start.labels;
    const count = this.#runningByTeam.get(team)!;
    const limit = this.findTeamLimit(team);
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

/** Endpoint client of one process. */
export class FakeEndpointClient extends EndpointClient {
  readonly #endpoints: FakeEndpoints;
  readonly #processId: string;

  constructor(endpoints: FakeEndpoints, processId: string) {
    super();
    this.#endpoints = endpoints;
    this.#processId = processId;
  }

  override start(
    endpoint: EndpointAddress,
    task: TaskStart,
  ): Promise<TaskResult> {
    const { time, random } = this.#endpoints;
    return new Promise((resolve) => {
      const resolveAfter = (ms: number, result: TaskResult) =>
        time.schedule(this.#processId, ms, () => resolve(result));
      const makeNotStarted = (reachable: boolean): TaskResult => ({
        kind: TaskResultKind.NotStarted,
        detail: "not started",
        reachable,
      });
      const unknown: TaskResult = {
        kind: TaskResultKind.Unknown,
        detail: "connection lost",
      };
      if (!this.#isReachable(endpoint.id)) {
        return resolveAfter(1, makeNotStarted(false));
      }
      if (random.drawFloat() < this.#endpoints.refusalRate) {
        return resolveAfter(2, makeNotStarted(true));
      }
      const isLost = random.drawFloat() < this.#endpoints.lostAnswerRate;
      resolveAfter(Math.max(1, task.timeoutMs), unknown);
      if (isLost) resolveAfter(5 + random.drawInt(50), unknown);
      const isLate = isLost && random.drawFloat() < 0.3;
      const deliveryDelayMs = 1 +
        random.drawInt(isLate ? MAX_LATE_START_DELAY_MS : 4);
      const deliver = () => {
        if (!this.#isReachable(endpoint.id)) return;
        this.#endpoints.start(endpoint.id, task, (result) => {
          if (!isLost) resolveAfter(1 + random.drawInt(4), result);
        });
      };
      // The process may be frozen or killed between the call and the send.
      time.schedule(this.#processId, random.drawInt(4), () => {
        time.schedule("endpoints", deliveryDelayMs, deliver);
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
        time.schedule(
          this.#processId,
          1,
          () => reject(new NotSentError("refused")),
        );
        return;
      }
      time.schedule("endpoints", 1 + random.drawInt(4), () => {
        if (!this.#isReachable(endpoint.id)) {
          const error = new UnknownEffectError("lost");
          time.schedule(this.#processId, 1, () => reject(error));
          return;
        }
        const listing = this.#endpoints.renewLeases(endpoint.id, leaseMs);
        const copy = structuredClone(listing);
        time.schedule(
          this.#processId,
          1 + random.drawInt(4),
          () => resolve(copy),
        );
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
