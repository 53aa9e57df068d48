/** Where a task belongs: job, occurrence, step and place in the step. */
export interface TaskPlace {
  job: string;
  occurrence: number;
  step: number;
  index: number;
}

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Formats the name of a step of one occurrence. */
export function formatStageName(
  { job, occurrence, step }: Omit<TaskPlace, "index">,
): string {
  return `${job}.${occurrence}.${step}`;
}

/** Formats the name of a task. */
export function formatTaskName(stage: string, index: number): string {
  return `${stage}.${index}`;
}

/** Splits the name of a task, or returns nothing when it is none. */
export function parseTaskName(name: string): TaskPlace | undefined {
  const parts = TASK_NAME.exec(name);
  if (!parts) return undefined;
  const [, job, occurrence, step, index] = parts;
  return {
    job,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}
