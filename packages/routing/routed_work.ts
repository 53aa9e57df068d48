import type { Work } from "../base/mod.ts";
import type { Attempt } from "../engine/mod.ts";
import type { OwnerCandidate } from "./types.ts";

/** An attempt and the owner that it was sent to, for cancelling. */
export interface SentAttempt {
  id: string;
  owner: OwnerCandidate;
}

/** Routing state of one piece of work. */
export interface RoutedWork {
  work: Work;
  /** Limit on the attempts of the work's queue that wait at one owner. */
  maxQueued: number;
  /** Attempts sent so far. */
  sentAttempts: SentAttempt[];
  cancelled: boolean;
}

/** Builds an attempt; its id is the work's id with a suffix. */
export function makeAttempt(routed: RoutedWork, suffix: string): Attempt {
  const { work } = routed;
  return {
    id: `${work.id}.${suffix}`,
    work: work.id,
    team: work.team,
    queue: work.queue,
    kind: work.kind,
    size: work.size,
    deadline: work.deadline,
    urgent: work.urgent,
    payload: work.payload,
    maxQueued: routed.maxQueued,
  };
}
