import { type Decision, DecisionKind } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";

const EVENT_BY_DECISION: Record<DecisionKind, EventCode> = {
  [DecisionKind.Started]: EventCode.TaskStarted,
  [DecisionKind.Requeued]: EventCode.TaskRequeued,
  [DecisionKind.Stopped]: EventCode.TaskStopped,
  [DecisionKind.Ended]: EventCode.TaskEnded,
  [DecisionKind.JobEnded]: EventCode.JobEnded,
  [DecisionKind.EndpointEjected]: EventCode.EndpointEjected,
  [DecisionKind.EndpointReborn]: EventCode.EndpointReborn,
  [DecisionKind.EndpointReplaced]: EventCode.EndpointReborn,
  [DecisionKind.Throttled]: EventCode.EndpointThrottled,
  [DecisionKind.LeaseExpired]: EventCode.EndpointLapsed,
  [DecisionKind.Adopted]: EventCode.TaskAdopted,
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
