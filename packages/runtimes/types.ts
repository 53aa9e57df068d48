/** What the run time of a task is predicted from. */
export interface RunShape {
  service: string;
  queue: string;
  organisation: string;
  /** Number of tasks of the step. */
  tasks: number;
  milliCores: number;
  isGang: boolean;
  /** The caller's estimate, in milliseconds. */
  estimateMs: number;
}

/** Options of a prediction. */
export interface PredictionOptions {
  /** Share of comparable runs that take at most the predicted time, 0 to 1. */
  quantile: number;
  /** Speed of the endpoint; 1 is the usual speed of the service's endpoints. */
  speed: number;
  /** Steady clock, in milliseconds. */
  now: number;
}

/** One lifetime of an endpoint. */
export interface EndpointLifetime {
  id: string;
  service: string;
  labels: readonly string[];
  /** Start of the lifetime; 0: not known. */
  bornAt: number;
}

/** A run whose progress and end are observed from now on. */
export interface RunStart {
  shape: RunShape;
  /** Id of the step; its runs share the error of the estimate. */
  step: string;
  endpoint: EndpointLifetime;
  /**
   * When the run began with all its work ahead, by the steady clock; undefined: not
   * known, or resumed from a checkpoint.
   */
  startedAt: number | undefined;
  /** The endpoint's clock minus the steady clock, in milliseconds. */
  clockOffset: number;
  now: number;
}

/** Progress of a run in a listing. */
export interface ListedProgress {
  percent: number;
  /** The endpoint's clock when it wrote the listing, in milliseconds. */
  clockMs: number;
  now: number;
}

/** How the observation of a run ends. */
export enum RunOutcome {
  /** The run has done its work. */
  Complete = "complete",
  /** The run was ended before: its run time is at least the observed one. */
  Censored = "censored",
  /** Only the speed of the endpoint is learned. */
  Ignored = "ignored",
}

/** The end of an observed run. */
export interface RunEnd {
  outcome: RunOutcome;
  /** Endpoints of the members of a gang, the slowest of which counts. */
  gangEndpoints?: readonly string[];
  now: number;
}

/** Actual and predicted run times of an ended run, in milliseconds. */
export interface RunResult {
  actualMs: number;
  /** Predicted median, before the run was observed. */
  predictedMs: number;
  /** Predicted 90th percentile, before the run was observed. */
  predictedP90Ms: number;
}

/** How well predictions matched, for one queue. */
export interface QueueCalibration {
  queue: string;
  runs: number;
  /** Share of the runs that took at most their predicted median; ideally 0.5. */
  belowMedian: number;
  /** Share of the runs that took at most their predicted 90th percentile. */
  belowP90: number;
}

/** Stored distribution: key, then indexes of buckets with weights. */
export interface DistributionSnapshot {
  key: string;
  completed: [number, number][];
  censored: [number, number][];
}

/** Durable state of a model of run times. */
export interface RunTimesSnapshot {
  /** Range of buckets; a snapshot with another one is not restored. */
  version: number;
  distributions: DistributionSnapshot[];
  /** Key, number of runs and median of the logarithm of the bias. */
  biases: [string, number, number][];
  /** Id, service, start of the lifetime, logarithms of observed speeds, labels. */
  endpoints: [string, string, number, number[], string[]][];
}
