import type { JobSpec } from "../jobs/mod.ts";
import { RunTimesName } from "./policies.ts";
import { describeStepShape } from "./run_shape.ts";
import type { CellState } from "./state.ts";

/**
 * Predicts the median run time of a job without waits, in milliseconds: its longest
 * chain of steps, all tasks of a step at a time; `undefined`: run times are not
 * learned. It is for operators and decides nothing.
 */
export function predictJob(
  state: CellState,
  spec: JobSpec,
  { now }: { now: number },
): number | undefined {
  if (state.policies.names.run_times !== RunTimesName.Learned) return undefined;
  const finishMs: number[] = [];
  for (const step of spec.steps) {
    if (step.longRunning) return undefined;
    // A gang counts as one run. Otherwise the step ends with the slowest task.
    const quantile = step.gang ? 0.5 : 0.5 ** (1 / Math.max(1, step.tasks));
    const stepMs = state.runTimes.predict(describeStepShape(spec, step), {
      quantile,
      speed: 1,
      now,
    });
    const predecessors = step.after.map((index) => finishMs[index] ?? 0);
    finishMs.push(Math.max(0, ...predecessors) + stepMs);
  }
  return Math.round(Math.max(0, ...finishMs));
}
