import { EJECT_AFTER_FAILURES } from "./constants.ts";
import { measureFreeCores } from "./placement_pass.ts";
import { getStep } from "./stages.ts";
import type { Endpoint, Stage } from "./types.ts";

/** In which order waiting stages are served. */
export enum OrderName {
  /** By rank, priority and due time. */
  Due = "due",
  /** First come, first served: the baseline. */
  Arrival = "arrival",
}

/** On which of the endpoints with room a task starts. */
export enum ChoiceName {
  /** Where least is free, so that whole endpoints stay free for gangs. */
  Fullest = "fullest",
  /** The first that has room: the baseline. */
  First = "first",
}

/** Which jobs are taken. */
export enum AdmissionName {
  /** Those that can still be in time. */
  Predicted = "predicted",
  /** All that an endpoint can hold: the baseline. */
  Open = "open",
}

/** Whether endpoints that fail what they start get no more work. */
export enum EjectionName {
  Failures = "failures",
  /** Never: the baseline. */
  None = "none",
}

/** The policies of a cell, by name. */
export interface PolicyNames {
  order: OrderName;
  choice: ChoiceName;
  admission: AdmissionName;
  ejection: EjectionName;
}

/** The policies of a cell. */
export interface CellPolicies {
  order: StageOrder;
  choice: EndpointChoice;
  /** All that an endpoint can hold is taken. */
  isOpen: boolean;
  /** Failed runs of different jobs in a row that eject an endpoint. */
  ejectAfter: number;
}

/** The policies that are used when nothing else is set. */
export const DEFAULT_POLICIES: Readonly<PolicyNames> = {
  order: OrderName.Due,
  choice: ChoiceName.Fullest,
  admission: AdmissionName.Predicted,
  ejection: EjectionName.Failures,
};

/** Sorts what waits. */
export abstract class StageOrder {
  /** Returns the stages, the first to be served first. `now`: steady, in ms. */
  abstract sortStages(stages: Iterable<Stage>, now: number): Stage[];
}

/** Chooses an endpoint for a task among those with room. */
export abstract class EndpointChoice {
  /** Returns one of the endpoints, of which there is at least one. */
  abstract chooseEndpoint(endpoints: readonly Endpoint[]): Endpoint;
}

/** Who is served first. */
enum Rank {
  Owed = 0,
  OverShare = 1,
  /** So late that its caller gains nothing more by it. */
  Expired = 2,
}

/**
 * Sorts by rank and priority, what can be in time before what is late, and then
 * by due time. Answers the load "a backlog of short work": late short work
 * still goes before long work, and makes none late.
 */
class DueOrder extends StageOrder {
  override sortStages(stages: Iterable<Stage>, now: number): Stage[] {
    const rank = ({ job, expiresAt }: Stage) => {
      if (now > expiresAt) return Rank.Expired;
      return job.isOverShare ? Rank.OverShare : Rank.Owed;
    };
    const isLate = (stage: Stage) =>
      now > stage.dueAt && !getStep(stage).longRunning ? 1 : 0;
    return [...stages].sort((a, b) =>
      rank(a) - rank(b) ||
      a.job.spec.queue.priority - b.job.spec.queue.priority ||
      isLate(a) - isLate(b) ||
      a.dueAt - b.dueAt
    );
  }
}

class ArrivalOrder extends StageOrder {
  override sortStages(stages: Iterable<Stage>): Stage[] {
    return [...stages].sort((a, b) => a.job.acceptedAt - b.job.acceptedAt);
  }
}

class FullestChoice extends EndpointChoice {
  override chooseEndpoint(endpoints: readonly Endpoint[]): Endpoint {
    return endpoints.reduce((best, endpoint) =>
      measureFreeCores(endpoint) < measureFreeCores(best) ? endpoint : best
    );
  }
}

class FirstChoice extends EndpointChoice {
  override chooseEndpoint(endpoints: readonly Endpoint[]): Endpoint {
    return endpoints[0];
  }
}

/** Builds the policies of these names. */
export function buildPolicies(names: PolicyNames): CellPolicies {
  return {
    order: names.order === OrderName.Arrival
      ? new ArrivalOrder()
      : new DueOrder(),
    choice: names.choice === ChoiceName.First
      ? new FirstChoice()
      : new FullestChoice(),
    isOpen: names.admission === AdmissionName.Open,
    ejectAfter: names.ejection === EjectionName.None
      ? Number.POSITIVE_INFINITY
      : EJECT_AFTER_FAILURES,
  };
}
