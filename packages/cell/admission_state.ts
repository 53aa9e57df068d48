import type { ShareLevel } from "./dominant_shares.ts";
import { PredictedEnds } from "./predicted_ends.ts";
import { RefusedJobs } from "./refused_jobs.ts";
import type { RoomForecast } from "./room_forecast.ts";
import type { Stage } from "./types.ts";

/** What admission and shares keep between decisions. A new owner begins without it. */
export interface AdmissionState {
  ends: PredictedEnds;
  refused: RefusedJobs;
  /** The newest forecasts, by service. */
  forecasts: Map<string, RoomForecast>;
  /** Levels of shares at the last plan, by service. */
  shareLevels: Map<string, ShareLevel>;
  /**
   * Dominant share of each waiting stage at the last plan, divided by the level; 0 if it
   * is within the share of its organisation.
   */
  stageRatios: Map<Stage, number>;
}

/** Makes the state of a cell without decisions. */
export function makeAdmissionState(): AdmissionState {
  return {
    ends: new PredictedEnds(),
    refused: new RefusedJobs(),
    forecasts: new Map(),
    shareLevels: new Map(),
    stageRatios: new Map(),
  };
}
