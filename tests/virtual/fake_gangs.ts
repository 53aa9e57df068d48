import {
  EndKind,
  type JobSpec,
  parseTaskName,
} from "../../packages/jobs/mod.ts";
import type { FakeEndpoint, FakeRun } from "../cell/fake_endpoint.ts";

interface Member {
  endpoint: FakeEndpoint;
  run: FakeRun;
}

/**
 * Runs the gangs of a site: a gang works from the moment when all tasks of one run
 * are present, and its tasks end together.
 */
export class FakeGangs {
  readonly #jobs: ReadonlyMap<string, JobSpec>;
  readonly #draws: { drawRunTime(): number; drawEndKind(): EndKind };
  /** Gangs whose tasks have all been present, by name and run number. */
  readonly #complete = new Set<string>();

  constructor(
    jobs: ReadonlyMap<string, JobSpec>,
    draws: { drawRunTime(): number; drawEndKind(): EndKind },
  ) {
    this.#jobs = jobs;
    this.#draws = draws;
  }

  /** Returns the number of tasks of a task's gang; 0: it belongs to none. */
  countTasks(task: string): number {
    const parts = parseTaskName(task);
    const step = parts && this.#jobs.get(parts.job)?.steps[parts.step];
    return step?.gang ? step.tasks : 0;
  }

  /** Starts the work of gangs that are complete and ends those that broke. */
  advance(endpoints: Iterable<FakeEndpoint>, now: number): void {
    for (const [key, members] of this.#collectMembers(endpoints)) {
      const isComplete =
        members.length === this.countTasks(members[0].run.task);
      if (isComplete && !this.#complete.has(key)) {
        this.#begin(key, members, now);
      }
      if (isComplete || !this.#complete.has(key)) continue;
      for (const { endpoint, run } of members) {
        // The end of a finished member has not been carried out yet.
        if (run.endsAt > now) endpoint.breakRun(run, now);
      }
    }
  }

  #begin(key: string, members: Member[], now: number): void {
    this.#complete.add(key);
    const endsAt = now + this.#draws.drawRunTime();
    const endKind = this.#draws.drawEndKind();
    for (const { run } of members) {
      run.endsAt = endsAt;
      run.endKind = endKind;
    }
  }

  #collectMembers(endpoints: Iterable<FakeEndpoint>): Map<string, Member[]> {
    const gangs = new Map<string, Member[]>();
    for (const endpoint of endpoints) {
      for (const run of endpoint.runs.values()) {
        if (this.countTasks(run.task) === 0) continue;
        const stage = run.task.slice(0, run.task.lastIndexOf("."));
        const key = `${stage}/${run.run}`;
        gangs.set(key, [...gangs.get(key) ?? [], { endpoint, run }]);
      }
    }
    return gangs;
  }
}
