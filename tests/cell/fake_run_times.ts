import {
  type PredictionOptions,
  type RunShape,
  RunTimes,
} from "../../packages/runtimes/mod.ts";

/** Run times and speeds that a test states. */
export class FakeRunTimes extends RunTimes {
  /** Speed by id of the endpoint; 1 for all others. */
  speeds = new Map<string, number>();
  areUneven = true;
  /** Factor by which predictions exceed the callers' estimates. */
  error = 1;
  /** Predicted remaining time of every run, in ms; undefined: by the estimate. */
  restMs: number | undefined;

  override predict(shape: RunShape, { speed }: PredictionOptions): number {
    return shape.estimateMs * this.error / speed;
  }

  override predictRest(
    shape: RunShape,
    options: PredictionOptions & { elapsedMs: number },
  ): number {
    const predictedMs = this.predict(shape, options);
    return this.restMs ?? Math.max(0, predictedMs - options.elapsedMs);
  }

  override getSpeed(endpoint: string): number {
    return this.speeds.get(endpoint) ?? 1;
  }

  override isUneven(): boolean {
    return this.areUneven;
  }
}
