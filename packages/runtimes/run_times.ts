import type { PredictionOptions, RunShape } from "./types.ts";

/** Predicts how long runs take, and tells how fast endpoints are. */
export abstract class RunTimes {
  /** Predicts the duration of a run, in milliseconds. */
  abstract predict(shape: RunShape, options: PredictionOptions): number;

  /**
   * Predicts how much longer a run takes that has run for `elapsedMs`, in
   * milliseconds, at least 0.
   */
  abstract predictRest(
    shape: RunShape,
    options: PredictionOptions & { elapsedMs: number },
  ): number;

  /** Returns the speed of an endpoint; 1 is usual in its service. */
  abstract getSpeed(endpoint: string, now: number): number;

  /** Returns whether placement has to tell a service's endpoints apart. */
  abstract isUneven(service: string, now: number): boolean;
}
