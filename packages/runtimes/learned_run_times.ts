import { BiasTable } from "./bias_table.ts";
import { Calibration } from "./calibration.ts";
import { DistributionTable } from "./distribution_table.ts";
import { RunProgress } from "./run_progress.ts";
import { RunTimes } from "./run_times.ts";
import { SpeedTable } from "./speed_table.ts";
import {
  type EndpointLifetime,
  type ListedProgress,
  type PredictionOptions,
  type QueueCalibration,
  type RunEnd,
  RunOutcome,
  type RunResult,
  type RunShape,
  type RunStart,
  type RunTimesSnapshot,
} from "./types.ts";

/** Changes with the meaning of stored values, which are then not restored. */
const SNAPSHOT_VERSION = 1;

/** Lowest speed that a prediction divides by. */
const MIN_SPEED = 0.01;

/**
 * Learns run times and speeds from runs. Load: estimates that are off by a factor of
 * their own in each queue, endpoints of different speeds, tail runs.
 */
export class LearnedRunTimes extends RunTimes {
  readonly #distributions = new DistributionTable();
  readonly #biases = new BiasTable();
  readonly #calibration = new Calibration();
  readonly #speeds: SpeedTable;

  constructor(options: { unevenRatio: number }) {
    super();
    this.#speeds = new SpeedTable(options);
  }

  override predict(
    shape: RunShape,
    { quantile, speed, now }: PredictionOptions,
  ): number {
    const ratio = this.#distributions.find(shape, now).estimate(quantile);
    return ratio * shape.estimateMs / Math.max(MIN_SPEED, speed);
  }

  override predictRest(
    shape: RunShape,
    options: PredictionOptions & { elapsedMs: number },
  ): number {
    const { elapsedMs, now, quantile, speed } = options;
    if (elapsedMs <= 0) return this.predict(shape, options);
    const usualMs = Math.max(1, shape.estimateMs) / Math.max(MIN_SPEED, speed);
    const elapsed = elapsedMs / usualMs;
    const ratio = this.#distributions.find(shape, now)
      .estimateBeyond(elapsed, quantile);
    return Math.max(0, ratio - elapsed) * usualMs;
  }

  override getSpeed(endpoint: string, now: number): number {
    return this.#speeds.getSpeed(endpoint, now);
  }

  override isUneven(service: string, now: number): boolean {
    return this.#speeds.isUneven(service, now);
  }

  override beginLifetime(lifetime: EndpointLifetime): void {
    this.#speeds.open(lifetime);
  }

  override beginRun(start: RunStart): RunProgress {
    const endpoint = this.#speeds.open(start.endpoint);
    const progress = new RunProgress(start, endpoint);
    endpoint.runs.push(progress);
    return progress;
  }

  override observeProgress(
    progress: RunProgress,
    listed: ListedProgress,
  ): void {
    const { now } = listed;
    const expectedMs = progress.beganSlow
      ? this.#predictPace(progress, now)
      : undefined;
    if (progress.update(listed, expectedMs)) {
      progress.endpoint.updateSlowdown(progress, now);
    }
    if (!progress.isRated) {
      this.#observeSpeed(progress, now, { isEnded: false });
    }
  }

  override observeEnd(
    progress: RunProgress,
    end: RunEnd,
  ): RunResult | undefined {
    const { now, outcome } = end;
    const { endpoint, shape, startedAt } = progress;
    endpoint.dropRun(progress);
    const isComplete = outcome === RunOutcome.Complete;
    // A gang ends with its slowest member, whose time is not this one's.
    if (isComplete && !shape.isGang) progress.finish(now);
    if (!progress.isRated) this.#observeSpeed(progress, now, { isEnded: true });
    const isUnknown = outcome === RunOutcome.Ignored || startedAt === undefined;
    if (isUnknown || now <= startedAt) return undefined;
    const actualMs = now - startedAt;
    const speed = this.#getAverageSpeed(progress, end, { actualMs });
    const predict = (quantile: number) =>
      this.predict(shape, { quantile, speed, now });
    const result = {
      actualMs,
      predictedMs: predict(0.5),
      predictedP90Ms: predict(0.9),
    };
    this.#distributions.add(shape, {
      ratio: actualMs * speed / Math.max(1, shape.estimateMs),
      isCensored: !isComplete,
      now,
    });
    if (isComplete) this.#calibration.add(shape.queue, result);
    return result;
  }

  override listCalibrations(): QueueCalibration[] {
    return this.#calibration.list();
  }

  override collectSnapshot(): RunTimesSnapshot {
    return {
      version: SNAPSHOT_VERSION,
      distributions: this.#distributions.collectDistributions(),
      biases: this.#biases.collectBiases(),
      endpoints: this.#speeds.list()
        .filter(({ samples }) => samples.length > 0)
        .map(({ id, service, bornAt, samples, labels }) => [
          id,
          service,
          bornAt,
          samples.map((sample) => Math.round(sample * 1_000) / 1_000),
          labels,
        ]),
    };
  }

  override restore(snapshot: RunTimesSnapshot, now: number): void {
    if (snapshot.version !== SNAPSHOT_VERSION) return;
    this.#distributions.restore(snapshot.distributions, now);
    this.#biases.restore(snapshot.biases);
    for (const [id, service, bornAt, samples, labels] of snapshot.endpoints) {
      const endpoint = this.#speeds.open({ id, service, bornAt, labels });
      for (const sample of samples) this.#speeds.addSample(endpoint, sample);
    }
  }

  override describe(now: number): unknown {
    return {
      calibration: this.listCalibrations(),
      distributions: this.#distributions.describe(now),
      speeds: this.#speeds.describe(now),
    };
  }

  /** Predicts the time of all the work of a run at its endpoint's lasting speed. */
  #predictPace(
    { endpoint, shape, step }: RunProgress,
    now: number,
  ): number | undefined {
    const bias = this.#biases.find(shape, step);
    if (bias === undefined) return undefined;
    const speed = this.#speeds.getLastingSpeed(endpoint, now);
    return shape.estimateMs * Math.exp(bias - speed);
  }

  /** Compares a run with its estimate, once it has shown enough progress. */
  #observeSpeed(
    progress: RunProgress,
    now: number,
    options: { isEnded: boolean },
  ): void {
    const totalMs = progress.estimateTotal(options);
    if (totalMs === undefined) return;
    progress.isRated = true;
    const { endpoint, shape, step } = progress;
    const ratio = Math.log(totalMs / Math.max(1, shape.estimateMs));
    const bias = this.#biases.find(shape, step);
    const speed = this.#speeds.getLastingSpeed(endpoint, now);
    this.#biases.add(shape, step, { value: ratio + speed });
    if (bias !== undefined) this.#speeds.addSample(endpoint, bias - ratio);
  }

  /** Returns the mean speed at which a run has proceeded. */
  #getAverageSpeed(
    { endpoint, lostMs }: RunProgress,
    { gangEndpoints, now }: RunEnd,
    { actualMs }: { actualMs: number },
  ): number {
    if (gangEndpoints) {
      return Math.exp(this.#speeds.getSlowest(gangEndpoints, now));
    }
    const speed = Math.exp(this.#speeds.getLastingSpeed(endpoint, now));
    return speed * Math.max(MIN_SPEED, 1 - lostMs / actualMs);
  }
}
