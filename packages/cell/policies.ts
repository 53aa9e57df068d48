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
  /** As `Due`, with stages late whose predicted finish is past the deadline. */
  Learned = "learned",
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
  /** Urgent work and gangs on fast endpoints, other work on slow ones. */
  Speed = "speed",
}

/** Admission policy for jobs. */
export enum AdmissionName {
  /** Accepts jobs whose predicted wait is within their limit. */
  Predicted = "predicted",
  /** Accepts every job that fits an endpoint; a baseline for comparison. */
  Open = "open",
  /** Accepts jobs that can finish in time, by the room that becomes free. */
  Room = "room",
}

/** Policy for ejecting endpoints; an ejected endpoint gets no new work. */
export enum EjectionName {
  /** Ejects an endpoint after several failed runs in a row. */
  Failures = "failures",
  /** Ejects no endpoint; a baseline for comparison. */
  None = "none",
}

/** Source of the predicted run times. */
export enum RunTimesName {
  /** The callers' estimates; a baseline for comparison. */
  Stated = "stated",
  /** What finished runs have shown. */
  Learned = "learned",
}

/** How runs without progress are found. */
export enum StallsName {
  /** No progress for a fixed time; a baseline for comparison. */
  Fixed = "fixed",
  /** By the run's own pace and the progress of its gang. */
  Progress = "progress",
}

/** What happens when the start of a gang's member gets no answer. */
export enum GangStartsName {
  /** The gang is stopped; a baseline for comparison. */
  Once = "once",
  /** The start is repeated at the same endpoint first. */
  Repeat = "repeat",
}

/** What happens to the runs of an endpoint that is leaving. */
export enum LeavingName {
  /** They run until the endpoint leaves; a baseline for comparison. */
  Ignore = "ignore",
  /** Those that cannot end in time are saved and moved. */
  Move = "move",
}

/** When organisations' shares decide who goes first. */
export enum SharesName {
  /** Once, at admission; a baseline for comparison. */
  Admission = "admission",
  /** At each plan, by the dominant share of what runs and waits. */
  Dominant = "dominant",
}

/** Room that is kept free for urgent work. */
export enum HeadroomName {
  /** None; a baseline for comparison. */
  None = "none",
  /** By the recent demand of urgent work. */
  Learned = "learned",
}

/** Runs that may be stopped for more urgent work. */
export enum PreemptionName {
  /** None; a baseline for comparison. */
  None = "none",
  /** Work of lower priority, for work of priority 0. */
  Urgent = "urgent",
}

/** The policies of a cell, by the keys of their settings. */
export interface PolicyNames {
  order: OrderName;
  choice: ChoiceName;
  admission: AdmissionName;
  ejection: EjectionName;
  run_times: RunTimesName;
  /** Ratio of speeds from which the endpoints of a service are uneven. */
  uneven_ratio: number;
  stalls: StallsName;
  gang_starts: GangStartsName;
  leaving: LeavingName;
  shares: SharesName;
  headroom: HeadroomName;
  preemption: PreemptionName;
}

/** The policies selected by `PolicyNames`. */
export interface CellPolicies {
  names: Readonly<PolicyNames>;
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
  run_times: RunTimesName.Stated,
  uneven_ratio: 2,
  stalls: StallsName.Fixed,
  gang_starts: GangStartsName.Once,
  leaving: LeavingName.Ignore,
  shares: SharesName.Admission,
  headroom: HeadroomName.None,
  preemption: PreemptionName.None,
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
export function sortByDue(
  stages: Iterable<Stage>,
  { now, isLate }: { now: number; isLate: (stage: Stage) => boolean },
): Stage[] {
  const rank = ({ job, expiresAt }: Stage) => {
    if (now > expiresAt) return Rank.Expired;
    return job.isOverShare ? Rank.OverShare : Rank.WithinShare;
  };
  return [...stages].sort((a, b) =>
    rank(a) - rank(b) ||
    a.job.spec.queue.priority - b.job.spec.queue.priority ||
    Number(isLate(a)) - Number(isLate(b)) ||
    a.dueAt - b.dueAt
  );
}

class DueOrder extends StageOrder {
  override sortStages(stages: Iterable<Stage>, now: number): Stage[] {
    const isLate = (stage: Stage) =>
      now > stage.dueAt && !getStep(stage).longRunning;
    return sortByDue(stages, { now, isLate });
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
    names,
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
