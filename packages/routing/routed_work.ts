import type { Work } from "../base/mod.ts";
import type { Attempt } from "../engine/mod.ts";
import type { OwnerCandidate } from "./types.ts";

/** Where an attempt was sent, so that it can be cancelled. */
export interface SentAttempt {
  id: string;
  owner: OwnerCandidate;
}

/** One piece of work on its way. */
export interface RoutedWork {
  work: Work;
  maxQueued: number;
  /** Attempts sent so far. */
  sent: SentAttempt[];
  cancelled: boolean;
}

/** Builds one attempt of a piece of work. */
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
