import { EJECT_AFTER_FAILURES } from "./constants.ts";
import { measureFreeCores } from "./placement_pass.ts";
import { getStep } from "./stages.ts";
import type { Endpoint, Stage } from "./types.ts";

/** Order in which waiting stages are served. */
export enum OrderName {
  /** Sorts stages by rank, priority and deadline. */
  Due = "due",
  /** First come, first served; a baseline for comparison. */
  Arrival = "arrival",
}

/** Choice among the endpoints on which a task fits. */
export enum ChoiceName {
  /**
   * The endpoint with the fewest free cores, which keeps other endpoints idle
   * for gangs.
   */
  Fullest = "fullest",
  /** The first endpoint; a baseline for comparison. */
  First = "first",
}

/** Admission policy for jobs. */
export enum AdmissionName {
  /** Accepts jobs whose predicted wait is within their limit. */
  Predicted = "predicted",
  /** Accepts every job that fits an endpoint; a baseline for comparison. */
  Open = "open",
}

/** Policy for ejecting endpoints; an ejected endpoint gets no new work. */
export enum EjectionName {
  /** Ejects an endpoint after several failed runs in a row. */
  Failures = "failures",
  /** Ejects no endpoint; a baseline for comparison. */
  None = "none",
}

/** The policies of a cell, by name. */
export interface PolicyNames {
  order: OrderName;
  choice: ChoiceName;
  admission: AdmissionName;
  ejection: EjectionName;
}

/** The policies selected by `PolicyNames`. */
export interface CellPolicies {
  order: StageOrder;
  choice: EndpointChoice;
  /** Every job that fits an endpoint is accepted. */
  admitsAll: boolean;
  /** Number of failed runs in a row, of different jobs, before an ejection. */
  ejectAfterFailures: number;
}

/** Policies of a cell unless the settings name others. */
export const DEFAULT_POLICIES: Readonly<PolicyNames> = {
  order: OrderName.Due,
  choice: ChoiceName.Fullest,
  admission: AdmissionName.Predicted,
  ejection: EjectionName.Failures,
};

/** Sorts waiting stages into the order in which they are served. */
export abstract class StageOrder {
  /** Returns the stages in serving order. `now`: steady clock, in ms. */
  abstract sortStages(stages: Iterable<Stage>, now: number): Stage[];
}

/** Chooses the endpoint for a task. */
export abstract class EndpointChoice {
  /** Returns one of `endpoints`, a non-empty list on which the task fits. */
  abstract chooseEndpoint(endpoints: readonly Endpoint[]): Endpoint;
}

/** Rank of a stage; the lowest is served first. */
enum Rank {
  WithinShare = 0,
  OverShare = 1,
  /** The stage is so late that its result has no value to the caller. */
  Expired = 2,
}

/**
 * Sorts by rank, then priority, then stages in time before late ones, then
 * deadline. In a backlog of short work, late stages thus make no further stages
 * late, and still go before long work of lower priority.
 */
class DueOrder extends StageOrder {
  override sortStages(stages: Iterable<Stage>, now: number): Stage[] {
    const rank = ({ job, expiresAt }: Stage) => {
      if (now > expiresAt) return Rank.Expired;
      return job.isOverShare ? Rank.OverShare : Rank.WithinShare;
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

/** Builds the policies with these names. */
export function buildPolicies(names: PolicyNames): CellPolicies {
  return {
    order: names.order === OrderName.Arrival
      ? new ArrivalOrder()
      : new DueOrder(),
    choice: names.choice === ChoiceName.First
      ? new FirstChoice()
      : new FullestChoice(),
    admitsAll: names.admission === AdmissionName.Open,
    ejectAfterFailures: names.ejection === EjectionName.None
      ? Number.POSITIVE_INFINITY
      : EJECT_AFTER_FAILURES,
  };
}
