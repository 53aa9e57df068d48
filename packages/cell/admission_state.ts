import { PredictedEnds } from "./predicted_ends.ts";
import { RefusedJobs } from "./refused_jobs.ts";
import type { RoomForecast } from "./room_forecast.ts";

/** What admission keeps between decisions. A new owner begins without it. */
export interface AdmissionState {
  ends: PredictedEnds;
  refused: RefusedJobs;
  /** Forecasts since the last plan, by service. */
  forecasts: Map<string, RoomForecast>;
}

/** Makes the state of a cell without decisions. */
export function makeAdmissionState(): AdmissionState {
  return {
    ends: new PredictedEnds(),
    refused: new RefusedJobs(),
    forecasts: new Map(),
  };
}
