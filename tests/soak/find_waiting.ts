import { FINISH_MS, IDLE_MS } from "./constants.ts";
import { findStep, listTasks, type TaskHistory } from "./task_history.ts";
import type { SoakJob } from "./types.ts";

/** Time between two looks at the runs of all jobs, in milliseconds. */
const LOOK_MS = 100;

/**
 * Finds the jobs of which nothing ran for `IDLE_MS`, `FINISH_MS` after the load,
 * although a task of them was not done and half of all cores were free.
 */
export function findWaitingJobs(
  tasks: TaskHistory,
  { jobs, milliCores, loadEndedAt }: {
    /** The jobs that can be completed, by id. */
    jobs: Map<string, SoakJob>;
    /** Capacity of all endpoints together. */
    milliCores: number;
    loadEndedAt: number;
  },
): SoakJob[] {
  const from = loadEndedAt + FINISH_MS;
  const busy = new Set<string>();
  for (let at = from; at <= from + IDLE_MS; at += LOOK_MS) {
    let usedMilliCores = 0;
    for (const task of tasks.listRunning(at)) {
      const id = task.split(".")[0];
      const job = jobs.get(id);
      busy.add(id);
      usedMilliCores += job && findStep(job, task)?.milliCores || 0;
    }
    if (2 * usedMilliCores > milliCores) return [];
  }
  return [...jobs.values()].filter((job) =>
    !busy.has(job.id) &&
    listTasks(job).some(({ name }) => !tasks.hasDone(name, from))
  );
}
