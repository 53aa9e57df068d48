/** Properties of a waiting attempt that determine its order. */
export interface QueueEntry {
  id: string;
  team: string;
  queue: string;
  urgent: boolean;
  /** Milliseconds since the Unix epoch. */
  deadline: number;
  /** Order of arrival. */
  sequence: number;
}

/** Returns a team's load per share; the team with the lowest is next. */
export type GetTeamLoad = (team: string) => number;
