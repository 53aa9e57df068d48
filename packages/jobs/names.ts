/** Position of a task: its job, occurrence, step and index within the step. */
export interface TaskPosition {
  job: string;
  occurrence: number;
  step: number;
  index: number;
}

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Formats the name of a stage: one step in one occurrence of a job. */
export function formatStageName(
  { job, occurrence, step }: Omit<TaskPosition, "index">,
): string {
  return `${job}.${occurrence}.${step}`;
}

/** Formats the name of a task from its stage and its index in the step. */
export function formatTaskName(stage: string, index: number): string {
  return `${stage}.${index}`;
}

/** Parses a task name; undefined when the text is not a task name. */
export function parseTaskName(name: string): TaskPosition | undefined {
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
