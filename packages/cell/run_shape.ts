import { getCapacityDemand, type JobSpec } from "../jobs/mod.ts";
import { getCapacityDemand, type JobSpec, type StepSpec } from "../jobs/mod.ts";
import type { RunShape } from "../runtimes/mod.ts";

/** Describes what the run time of a stage's tasks is predicted from. */
export function describeShape(
  stage: { job: { spec: JobSpec }; step: number },
): RunShape {
  const { queue, organisation, steps } = stage.job.spec;
  const step = steps[stage.step];
export function describeShape(stage: Stage): RunShape {
  return describeStepShape(stage.job.spec, getStep(stage));
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
