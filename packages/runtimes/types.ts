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
