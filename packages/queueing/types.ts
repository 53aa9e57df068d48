/** What the queue needs to know of a waiting attempt. */
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

/** Ranks teams: the one with the lowest load per share is next. */
export type LoadOfTeam = (team: string) => number;
