import { getCapacityDemand, type JobSpec, type StepSpec } from "../jobs/mod.ts";
import type { RunShape } from "../runtimes/mod.ts";

/** Describes what the run time of a stage's tasks is predicted from. */
export function describeShape(
  { job, step }: { job: { spec: JobSpec }; step: number },
): RunShape {
  return describeStepShape(job.spec, job.spec.steps[step]);
}

/** Describes what the run time of a step's tasks is predicted from. */
export function describeStepShape(
  { queue, organisation }: JobSpec,
  step: StepSpec,
): RunShape {
  return {
    service: queue.service,
    queue: queue.name,
    organisation,
    tasks: step.tasks,
    milliCores: getCapacityDemand(step).milliCores,
    isGang: step.gang,
    estimateMs: step.estimateMs,
  };
}
