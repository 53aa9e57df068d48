import type { EndpointEvent } from "../standins/endpoint_lifetime.ts";
import { COUNTED_CRASHES } from "./constants.ts";
import type { SoakJob, SoakStep } from "./types.ts";

/** What endpoints recorded of a task. */
export interface TaskRecord {
  starts: EndpointEvent[];
  /** Runs in progress. */
  running: EndpointEvent[];
  ends: EndpointEvent[];
  /** Time of the first end as done whose end was acknowledged. */
  doneAt: number | undefined;
}

/** The runs of all tasks, as endpoints recorded them. */
export class TaskHistory {
  readonly #tasks = new Map<string, TaskRecord>();
  readonly #runsByEndpoint = new Map<string, EndpointEvent[]>();

  getTask(name: string): TaskRecord {
    const task = this.#tasks.get(name) ??
      { starts: [], running: [], ends: [], doneAt: undefined };
    this.#tasks.set(name, task);
    return task;
  }

  /** Lists the runs in progress on an endpoint. */
  listRuns(endpoint: string): EndpointEvent[] {
    return this.#runsByEndpoint.get(endpoint) ?? [];
  }

  /** Returns whether a run of the task has ended as done by this time. */
  hasDone(name: string, by: number): boolean {
    return this.getTask(name).ends.some(({ detail, at }) =>
      detail === "done" && at <= by
    );
  }

  /** Lists the crashes of endpoints under the task by this time. */
  listCrashes(name: string, by: number): EndpointEvent[] {
    return this.getTask(name).ends.filter(({ detail, at }) =>
      detail === "crashed" && at <= by
    );
  }

  /**
   * Counts the starts of the task up to this one, since `COUNTED_CRASHES`
   * endpoints had crashed under it; none that was carried out late.
   */
  countStartsAfterCrashes(start: EndpointEvent): number {
    const crash = this.listCrashes(start.task, start.at)[COUNTED_CRASHES - 1];
    if (!crash || start.isLate) return 0;
    return this.getTask(start.task).starts.filter(({ at, isLate }) =>
      at >= crash.at && !isLate
    ).length;
  }

  /** Lists the tasks that were running at this time, once for each run. */
  listRunning(at: number): string[] {
    return [...this.#tasks].flatMap(([name, { starts, ends }]) =>
      starts.filter((start) =>
        start.at <= at &&
        !ends.some((end) => isSameRun(start, end) && end.at <= at)
      ).map(() => name)
    );
  }

  addStart(start: EndpointEvent): void {
    const task = this.getTask(start.task);
    task.starts.push(start);
    task.running.push(start);
    const runs = this.listRuns(start.endpoint);
    this.#runsByEndpoint.set(start.endpoint, [...runs, start]);
  }

  addEnd(end: EndpointEvent): void {
    const task = this.getTask(end.task);
    task.running = task.running.filter((start) => !isSameRun(start, end));
    task.ends.push(end);
    const runs = this.listRuns(end.endpoint);
    this.#runsByEndpoint.set(
      end.endpoint,
      runs.filter((start) => !isSameRun(start, end)),
    );
  }

  /** Finds the end that was acknowledged, if the run was done. */
  acknowledge(event: EndpointEvent): EndpointEvent | undefined {
    if (event.detail !== "done") return undefined;
    const task = this.getTask(event.task);
    const end = task.ends.find((candidate) => isSameRun(candidate, event));
    if (end) task.doneAt ??= end.at;
    return end;
  }
}

function isSameRun(a: EndpointEvent, b: EndpointEvent): boolean {
  return a.endpoint === b.endpoint && a.born === b.born && a.run === b.run &&
    a.task === b.task;
}

/** Lists the names of the tasks of a job, with the number of their step. */
export function listTasks(job: SoakJob): { name: string; step: number }[] {
  return job.steps.flatMap(({ tasks }, step) =>
    Array.from({ length: tasks }, (_, index) => ({
      name: `${job.id}.0.${step}.${index}`,
      step,
    }))
  );
}

/** Finds the step of a task by the task's name. */
export function findStep(job: SoakJob, task: string): SoakStep | undefined {
  return job.steps[Number(task.split(".")[2])];
}
