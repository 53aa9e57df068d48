import { getCapacityDemand, type JobSpec } from "../jobs/mod.ts";
import type { RunShape } from "../runtimes/mod.ts";

/** Describes what the run time of a stage's tasks is predicted from. */
export function describeShape(
  stage: { job: { spec: JobSpec }; step: number },
): RunShape {
  const { queue, organisation, steps } = stage.job.spec;
  const step = steps[stage.step];
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
