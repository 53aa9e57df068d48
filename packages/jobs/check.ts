import {
  MAX_OCCURRENCES,
  MAX_PAYLOAD_LENGTH,
  MAX_STEPS,
  MAX_TASKS_PER_STEP,
} from "./constants.ts";
import type { JobSpec, StepSpec } from "./types.ts";

/** Finds the first fault of a job, as text for its caller, or nothing. */
export function findJobFault(job: JobSpec): string | undefined {
  if (job.payload.length > MAX_PAYLOAD_LENGTH) {
    return `the payload has more than ${MAX_PAYLOAD_LENGTH} characters`;
  }
  if (job.steps.length === 0) return "there is no step";
  if (job.steps.length > MAX_STEPS) return `more than ${MAX_STEPS} steps`;
  if (job.occurrences > MAX_OCCURRENCES) {
    return `more than ${MAX_OCCURRENCES} occurrences`;
  }
  if (job.occurrences > 1 && job.intervalMs <= 0) {
    return "several occurrences need an interval";
  }
  for (const [number, step] of job.steps.entries()) {
    const fault = findStepFault(step, number);
    if (fault) return `step ${number}: ${fault}`;
  }
  return undefined;
}

function findStepFault(step: StepSpec, number: number): string | undefined {
  if (step.tasks < 1) return "there is no task";
  if (step.tasks > MAX_TASKS_PER_STEP) {
    return `more than ${MAX_TASKS_PER_STEP} tasks`;
  }
  const isEarlier = (other: number) => other >= 0 && other < number;
  if (!step.after.every(isEarlier)) return "`after` must name earlier steps";
  return undefined;
}
