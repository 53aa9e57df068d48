import {
  addDemand,
  type Demand,
  EndKind,
  fitsInto,
  formatStageName,
  type JobSpec,
  makeZeroDemand,
  parseTaskName,
} from "../../packages/jobs/mod.ts";
import type { FakeEndpoint, FakeRun } from "./fake_endpoint.ts";

/** Checks the starts and ends on all endpoints against invariants. */
export class InvariantChecker {
  readonly violations: string[] = [];
  /** Those of the violations that concern room, quota and endpoint limits. */
  readonly roomViolations: string[] = [];
  /** Tasks that have completed at least once. */
  readonly done = new Set<string>();
  /**
   * Completed tasks whose end is known to the owner or can still be listed by
   * an endpoint; these must not be started again.
   */
  readonly reportableDone = new Set<string>();
  /** Number of ended runs by `EndKind`. */
  readonly endCounts: Record<string, number> = {};
  readonly #jobs = new Map<string, JobSpec>();
  readonly #quota: { limit?: Demand } = {};
  /** Checkpoints that the starts resumed from, in order. */
  readonly startCheckpoints: string[] = [];
  /** Number of starts by endpoint id. */
  readonly startsOn = new Map<string, number>();
  starts = 0;

  recordJob(job: JobSpec): void {
    this.#jobs.set(job.id, job);
  }

  /** Limits the resources that all running tasks together may use. */
  setQuota(limit: Demand): void {
    this.#quota.limit = limit;
  }

  recordStart(
    endpoints: Map<string, FakeEndpoint>,
    endpoint: FakeEndpoint,
    run: FakeRun,
  ): void {
    this.starts++;
    const { id } = endpoint;
    this.startsOn.set(id, (this.startsOn.get(id) ?? 0) + 1);
    const taskParts = parseTaskName(run.task);
    const job = taskParts && this.#jobs.get(taskParts.job);
    if (!taskParts || !job) {
      this.violations.push(`${run.task} belongs to no submitted job`);
      return;
    }
    this.#checkSingleRun(endpoints, endpoint, run);
    this.#checkCapacity(endpoint, run);
    this.#checkEndpointLimit(job, endpoint, run);
    this.#checkDependencies(job, taskParts);
    this.#checkQuota(endpoints);
  }

  recordEnd(endpoint: FakeEndpoint, run: FakeRun, endKind: EndKind): void {
    this.endCounts[endKind] = (this.endCounts[endKind] ?? 0) + 1;
    if (endKind === EndKind.Done) {
      this.done.add(run.task);
      this.reportableDone.add(run.task);
    }
    if (endKind === EndKind.GangIncomplete) {
      this.violations.push(
        `${run.task} ended on ${endpoint.id}: gang incomplete`,
      );
    }
  }

  #recordRoomViolation(text: string): void {
    this.violations.push(text);
    this.roomViolations.push(text);
  }

  #checkSingleRun(
    endpoints: Map<string, FakeEndpoint>,
    endpoint: FakeEndpoint,
    run: FakeRun,
  ): void {
    for (const otherEndpoint of endpoints.values()) {
      if (otherEndpoint !== endpoint && otherEndpoint.runs.has(run.task)) {
        this.violations.push(
          `${run.task} runs on ${otherEndpoint.id} and ${endpoint.id}`,
        );
      }
    }
    if (this.reportableDone.has(run.task)) {
      this.violations.push(`${run.task} started again after it completed`);
    }
  }

  #checkCapacity(endpoint: FakeEndpoint, run: FakeRun): void {
    const used = makeZeroDemand();
    for (const otherRun of endpoint.runs.values()) {
      if (otherRun !== run) addDemand(used, otherRun.demand);
    }
    const room = endpoint.computeCountedRoom();
    if (fitsInto(run.demand, room, used)) return;
    this.#recordRoomViolation(
      `${endpoint.id} exceeds its capacity: ${run.task} needs ${
        JSON.stringify(run.demand)
      } of ${JSON.stringify(room)}, of which ${JSON.stringify(used)} is taken`,
    );
  }

  /** Checks `maxPerEndpoint`; runs that are being stopped count too. */
  #checkEndpointLimit(
    job: JobSpec,
    endpoint: FakeEndpoint,
    run: FakeRun,
  ): void {
    const { job: id, occurrence, step } = parseTaskName(run.task)!;
    const { maxPerEndpoint } = job.steps[step];
    if (maxPerEndpoint === 0) return;
    const stage = formatStageName({ job: id, occurrence, step });
    const running = [...endpoint.runs.keys()].filter((task) =>
      task.startsWith(`${stage}.`)
    );
    if (running.length <= maxPerEndpoint) return;
    this.#recordRoomViolation(`${stage} exceeds its limit on ${endpoint.id}`);
  }

  #checkDependencies(
    job: JobSpec,
    taskParts: { job: string; occurrence: number; step: number },
  ): void {
    for (const dependency of job.steps[taskParts.step].after) {
      for (let index = 0; index < job.steps[dependency].tasks; index++) {
        const task = `${job.id}.${taskParts.occurrence}.${dependency}.${index}`;
        const isDone = this.done.has(task) ||
          job.steps[dependency].gang &&
            this.done.has(`${job.id}.${taskParts.occurrence}.${dependency}.0`);
        if (!isDone) {
          this.violations.push(
            `${task} was not done when a dependent step started`,
          );
        }
      }
    }
  }

  #checkQuota(endpoints: Map<string, FakeEndpoint>): void {
    const { limit } = this.#quota;
    if (!limit) return;
    const used = makeZeroDemand();
    for (const endpoint of endpoints.values()) {
      for (const run of endpoint.runs.values()) addDemand(used, run.demand);
    }
    if (fitsInto(makeZeroDemand(), limit, used)) return;
    this.#recordRoomViolation(
      `the running tasks exceed the quota: ${JSON.stringify(used)}`,
    );
  }
}
