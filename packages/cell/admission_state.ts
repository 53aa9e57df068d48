import type { ShareLevel } from "./dominant_shares.ts";
import { PredictedEnds } from "./predicted_ends.ts";
import { RefusedJobs } from "./refused_jobs.ts";
import type { RoomForecast } from "./room_forecast.ts";
import type { Stage } from "./types.ts";

/** What admission and shares keep between decisions. A new owner begins without it. */
export interface AdmissionState {
  ends: PredictedEnds;
  refused: RefusedJobs;
  /** Forecasts since the last plan, by service. */
  forecasts: Map<string, RoomForecast>;
  /** Levels of shares at the last plan, by service. */
  shareLevels: Map<string, ShareLevel>;
  /** Waiting stages beyond the share of their organisation at the last plan. */
  stagesBeyondShare: Set<Stage>;
}

/** Makes the state of a cell without decisions. */
export function makeAdmissionState(): AdmissionState {
  return {
    ends: new PredictedEnds(),
    refused: new RefusedJobs(),
    forecasts: new Map(),
    shareLevels: new Map(),
    stagesBeyondShare: new Set(),
  };
}
