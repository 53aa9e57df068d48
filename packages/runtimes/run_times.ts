import type { RunProgress } from "./run_progress.ts";
import type {
  EndpointLifetime,
  ListedProgress,
  PredictionOptions,
  QueueCalibration,
  RunEnd,
  RunResult,
  RunShape,
  RunStart,
  RunTimesSnapshot,
} from "./types.ts";

/**
 * Predicts how long runs take, and tells how fast endpoints are. A model that learns
 * overrides the methods that observe runs; by default they do nothing.
 */
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

  /** Notes the lifetime of an endpoint; a new one starts from the prior. */
  beginLifetime(_lifetime: EndpointLifetime, _now: number): void {}

  /** Begins to observe a run; `undefined`: the model does not learn. */
  beginRun(_start: RunStart): RunProgress | undefined {
    return undefined;
  }

  /** Observes the listed progress of a run, in percent. */
  observeProgress(
    _progress: RunProgress,
    _listed: ListedProgress,
  ): void {}

  /** Observes the end of a run; `undefined`: its run time is not known. */
  observeEnd(_progress: RunProgress, _end: RunEnd): RunResult | undefined {
    return undefined;
  }

  /** Lists how well the predictions matched, by queue. */
  listCalibrations(): QueueCalibration[] {
    return [];
  }

  /** Exports what was learned; `undefined`: nothing. */
  collectSnapshot(): RunTimesSnapshot | undefined {
    return undefined;
  }

  /** Restores what a former owner learned. */
  restore(_snapshot: RunTimesSnapshot, _now: number): void {}

  /** Describes the model for a dump. */
  describe(_now: number): unknown {
    return undefined;
  }
}
