import {
  addDemand,
  type Demand,
  EndKind,
  fitsInto,
  type JobSpec,
  makeZeroDemand,
  parseTaskName,
} from "../../packages/jobs/mod.ts";
import type { FakeEndpoint, FakeRun } from "./fake_endpoint.ts";

/** Checks what endpoints see against what must always hold. */
export class RuleChecker {
  readonly faults: string[] = [];
  /** Tasks that have ended well at least once. */
  readonly done = new Set<string>();
  /** Of these, those whose end an endpoint can still tell, or has told. */
  readonly known = new Set<string>();
  readonly ends: Record<string, number> = {};
  readonly #jobs = new Map<string, JobSpec>();
  readonly #cap: { limit?: Demand } = {};
  /** Checkpoints that starts went on from, in order. */
  readonly savedAt: string[] = [];
  readonly startsOn = new Map<string, number>();
  starts = 0;

  noteJob(job: JobSpec): void {
    this.#jobs.set(job.id, job);
  }

  /** Bounds what all jobs together may have running. */
  setCap(limit: Demand): void {
    this.#cap.limit = limit;
  }

  noteStart(
    endpoints: Map<string, FakeEndpoint>,
    endpoint: FakeEndpoint,
    run: FakeRun,
  ): void {
    this.starts++;
    const { id } = endpoint;
    this.startsOn.set(id, (this.startsOn.get(id) ?? 0) + 1);
    const place = parseTaskName(run.task);
    const job = place && this.#jobs.get(place.job);
    if (!place || !job) {
      this.faults.push(`${run.task} was asked for by nobody`);
      return;
    }
    this.#checkTwice(endpoints, endpoint, run);
    this.#checkRoom(endpoint, run);
    this.#checkOrder(job, place);
    this.#checkCap(endpoints);
  }

  noteEnd(endpoint: FakeEndpoint, run: FakeRun, how: EndKind): void {
    this.ends[how] = (this.ends[how] ?? 0) + 1;
    if (how === EndKind.Done) {
      this.done.add(run.task);
      this.known.add(run.task);
    }
    if (how === EndKind.GangIncomplete) {
      this.faults.push(`${run.task} ended alone on ${endpoint.id}`);
    }
  }

  #checkTwice(
    endpoints: Map<string, FakeEndpoint>,
    endpoint: FakeEndpoint,
    run: FakeRun,
  ): void {
    for (const other of endpoints.values()) {
      if (other !== endpoint && other.runs.has(run.task)) {
        this.faults.push(`${run.task} runs on ${other.id} and ${endpoint.id}`);
      }
    }
    if (this.known.has(run.task)) {
      this.faults.push(`${run.task} starts after it was done`);
    }
  }

  #checkRoom(endpoint: FakeEndpoint, run: FakeRun): void {
    const used = makeZeroDemand();
    for (const other of endpoint.runs.values()) {
      if (other !== run) addDemand(used, other.demand);
    }
    if (fitsInto(run.demand, endpoint.capacity, used)) return;
    this.faults.push(`${endpoint.id} holds more than its room`);
  }

  #checkOrder(
    job: JobSpec,
    place: { job: string; occurrence: number; step: number },
  ): void {
    for (const before of job.steps[place.step].after) {
      for (let index = 0; index < job.steps[before].tasks; index++) {
        const task = `${job.id}.${place.occurrence}.${before}.${index}`;
        const isDone = this.done.has(task) ||
          job.steps[before].gang &&
            this.done.has(`${job.id}.${place.occurrence}.${before}.0`);
        if (!isDone) this.faults.push(`${task} was not done before its next`);
      }
    }
  }

  #checkCap(endpoints: Map<string, FakeEndpoint>): void {
    const { limit } = this.#cap;
    if (!limit) return;
    const used = makeZeroDemand();
    for (const endpoint of endpoints.values()) {
      for (const run of endpoint.runs.values()) addDemand(used, run.demand);
    }
    if (fitsInto(makeZeroDemand(), limit, used)) return;
    this.faults.push("an organisation has more running than its cap");
  }
}
