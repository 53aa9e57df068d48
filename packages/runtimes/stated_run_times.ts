import { RunTimes } from "./run_times.ts";
import type { PredictionOptions, RunShape } from "./types.ts";

/** Takes callers' estimates as they are; a baseline for comparison. */
export class StatedRunTimes extends RunTimes {
  override predict({ estimateMs }: RunShape): number {
    return estimateMs;
  }

  override predictRest(
    { estimateMs }: RunShape,
    { elapsedMs }: PredictionOptions & { elapsedMs: number },
  ): number {
    return Math.max(0, estimateMs - elapsedMs);
  }

  override getSpeed(): number {
    return 1;
  }

  override isUneven(): boolean {
    return false;
  }
}
