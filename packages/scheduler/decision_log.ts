import { type Decision, DecisionKind } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

const EVENT_BY_DECISION: Record<DecisionKind, EventCode> = {
  [DecisionKind.Started]: EventCode.TaskStarted,
  [DecisionKind.Requeued]: EventCode.TaskRequeued,
  [DecisionKind.Stopped]: EventCode.TaskStopped,
  [DecisionKind.Ended]: EventCode.TaskEnded,
  [DecisionKind.JobEnded]: EventCode.JobEnded,
  [DecisionKind.EndpointEjected]: EventCode.EndpointEjected,
  [DecisionKind.EndpointReborn]: EventCode.EndpointReborn,
  [DecisionKind.EndpointReplaced]: EventCode.EndpointReborn,
  [DecisionKind.ListingIgnored]: EventCode.EndpointListingIgnored,
  [DecisionKind.CheckpointIgnored]: EventCode.CheckpointIgnored,
  [DecisionKind.Throttled]: EventCode.EndpointThrottled,
  [DecisionKind.LeaseExpired]: EventCode.EndpointLapsed,
  [DecisionKind.Adopted]: EventCode.TaskAdopted,
  [DecisionKind.EndpointLeaving]: EventCode.EndpointLeaving,
  [DecisionKind.StartRepeated]: EventCode.StartRepeated,
  [DecisionKind.RoomShrunk]: EventCode.EndpointRoomShrunk,
  [DecisionKind.RoomGrown]: EventCode.EndpointRoomGrown,
  [DecisionKind.EndpointCrashed]: EventCode.EndpointCrashed,
  [DecisionKind.CrashJudged]: EventCode.CrashJudged,
  [DecisionKind.TaskGivenUp]: EventCode.TaskGivenUp,
  [DecisionKind.StartPostponed]: EventCode.StartPostponed,
  [DecisionKind.JobRefused]: EventCode.JobRefused,
  [DecisionKind.JobDeferred]: EventCode.JobDeferred,
  [DecisionKind.JobAdmitted]: EventCode.JobAdmitted,
  [DecisionKind.ShareExceeded]: EventCode.ShareExceeded,
  [DecisionKind.ShareKept]: EventCode.ShareKept,
  [DecisionKind.HeadroomChanged]: EventCode.HeadroomChanged,
  [DecisionKind.Preempted]: EventCode.TaskPreempted,
};

/** Counters of decisions, by kind. */
const COUNTER_BY_DECISION: Partial<Record<DecisionKind, string>> = {
  [DecisionKind.EndpointReborn]: "endpoint_restarts",
  [DecisionKind.EndpointReplaced]: "endpoints_replaced",
  [DecisionKind.ListingIgnored]: "listings_ignored",
  [DecisionKind.CheckpointIgnored]: "checkpoints_ignored",
  [DecisionKind.StartRepeated]: "starts_repeated",
  [DecisionKind.RoomShrunk]: "rooms_shrunk",
  [DecisionKind.RoomGrown]: "rooms_grown",
  [DecisionKind.EndpointCrashed]: "endpoint_crashes",
  [DecisionKind.TaskGivenUp]: "tasks_given_up",
  [DecisionKind.StartPostponed]: "starts_postponed",
  [DecisionKind.JobRefused]: "jobs_refused",
  [DecisionKind.JobDeferred]: "jobs_deferred",
  [DecisionKind.JobAdmitted]: "jobs_admitted",
  [DecisionKind.ShareExceeded]: "shares_exceeded",
  [DecisionKind.Preempted]: "tasks_preempted",
};

/** Records one event for each decision of the cell. */
export function recordDecisions(
  log: EventLog,
  decisions: readonly Decision[],
): void {
  for (const { kind, subject, inputs } of decisions) {
    log.record(EVENT_BY_DECISION[kind], { subject, ...inputs });
  }
}

/** Counts the decisions that have a counter. */
export function countDecisions(
  metrics: Metrics,
  decisions: readonly Decision[],
): void {
  for (const { kind, inputs } of decisions) {
    if (kind === DecisionKind.Stopped) {
      metrics.countEvent("runs_stopped", { reason: String(inputs.reason) });
    }
    const counter = COUNTER_BY_DECISION[kind];
    if (counter) metrics.countEvent(counter);
  }
}
