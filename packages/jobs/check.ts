import { Buffer } from "node:buffer";
import {
  JOB_ID,
  MAX_OCCURRENCES,
  MAX_PAYLOAD_BYTES,
  MAX_STEPS,
  MAX_TASKS_PER_STEP,
} from "./constants.ts";
import type { JobSpec, StepSpec } from "./types.ts";

/** Returns the first validation error of a job, for its caller, if any. */
export function findJobError(job: JobSpec): string | undefined {
  const textError = findTextError(job);
  if (textError) return textError;
  if (job.steps.length === 0) return "the job has no steps";
  if (job.steps.length > MAX_STEPS) return `more than ${MAX_STEPS} steps`;
  if (job.occurrences > MAX_OCCURRENCES) {
    return `more than ${MAX_OCCURRENCES} occurrences`;
  }
  if (job.occurrences > 1 && job.intervalMs <= 0) {
    return "a job with several occurrences needs an interval";
  }
  for (const [index, step] of job.steps.entries()) {
    const error = findStepError(step, index);
    if (error) return `step ${index}: ${error}`;
  }
  return undefined;
}

/** Returns the error of the texts that identify and describe a job, if any. */
export function findTextError(
  { id, payload }: Pick<JobSpec, "id" | "payload">,
): string | undefined {
  if (!JOB_ID.test(id)) {
    return "the id must be 1 to 64 letters, digits, `_` and `-`";
  }
  if (Buffer.byteLength(payload) > MAX_PAYLOAD_BYTES) {
    return `the payload has more than ${MAX_PAYLOAD_BYTES} bytes`;
  }
  return undefined;
}

function findStepError(step: StepSpec, index: number): string | undefined {
  if (step.tasks < 1) return "the step has no tasks";
  if (step.tasks > MAX_TASKS_PER_STEP) {
    return `more than ${MAX_TASKS_PER_STEP} tasks`;
  }
  const isEarlierStep = (dependency: number) =>
    dependency >= 0 && dependency < index;
  if (!step.after.every(isEarlierStep)) {
    return "`after` must list earlier steps";
  }
  return undefined;
}
