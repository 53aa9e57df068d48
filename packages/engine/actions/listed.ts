import type { EndpointListing } from "../../endpoints/mod.ts";
import { MISSING_LISTINGS, SETTLE_MS } from "../constants.ts";
import type { EndpointState } from "../endpoint_state.ts";
import { type Hold, HoldReason } from "../ledger.ts";
import { releaseTask } from "../attempts.ts";
import type { ActionContext } from "../state.ts";
import { DecisionType, EndpointStatus } from "../types.ts";
import { pumpQueue } from "./pump.ts";

/** Compares an endpoint's own list of running tasks with the ledger. */
export function observeListing(
  context: ActionContext,
  event: { endpoint: string; listing: EndpointListing; sentAt: number },
): void {
  const endpoint = context.state.endpoints.get(event.endpoint);
  if (!endpoint) return;
  const before = endpoint.status;
  adoptTasks(context, endpoint, event);
  clearEndedTasks(context, endpoint, event);
  endpoint.leaving = event.listing.leaving;
  endpoint.reachable = true;
  endpoint.recovered = true;
  recordStatus(context, endpoint, { before });
  pumpQueue(context);
}

/** Notes that an endpoint did not answer; what it runs stays counted. */
export function noteListFailure(context: ActionContext, id: string): void {
  const endpoint = context.state.endpoints.get(id);
  if (!endpoint) return;
  const before = endpoint.status;
  endpoint.reachable = false;
  recordStatus(context, endpoint, { before });
}

function adoptTasks(
  context: ActionContext,
  endpoint: EndpointState,
  event: { listing: EndpointListing; sentAt: number },
): void {
  for (const task of event.listing.tasks) {
    const hold = endpoint.ledger.get(task.id);
    if (hold) {
      hold.listed = true;
      hold.missing = 0;
      continue;
    }
    if (hasEndedAround(context, task.id, event)) continue;
    endpoint.ledger.adopt({
      id: task.id,
      size: task.size,
      team: task.labels.team,
      starter: task.labels.starter,
      reason: HoldReason.Adopted,
      since: context.now,
      missing: 0,
      listed: true,
    });
  }
}

/** A listing that crossed the answer still shows the ended task. */
function hasEndedAround(
  context: ActionContext,
  task: string,
  event: { sentAt: number },
): boolean {
  const endedAt = context.state.attempts.get(task)?.endedAt;
  return endedAt !== undefined && event.sentAt < endedAt + SETTLE_MS;
}

function clearEndedTasks(
  context: ActionContext,
  endpoint: EndpointState,
  event: { listing: EndpointListing; sentAt: number },
): void {
  const running = new Set(event.listing.tasks.map((task) => task.id));
  for (const hold of [...endpoint.ledger.list()]) {
    if (running.has(hold.id) || !isEndedByListing(hold)) continue;
    if (event.sentAt < hold.since + SETTLE_MS) continue;
    hold.missing += 1;
    if (hold.missing < MISSING_LISTINGS) continue;
    releaseTask(context.state, hold.id, { endpoint });
  }
}

function isEndedByListing(hold: Hold): boolean {
  return hold.reason === HoldReason.Service ||
    hold.reason === HoldReason.Adopted ||
    hold.reason === HoldReason.Uncertain;
}

function recordStatus(
  context: ActionContext,
  endpoint: EndpointState,
  options: { before: EndpointStatus },
): void {
  const { status } = endpoint;
  if (status === options.before) return;
  context.decisions.push({
    type: DecisionType.EndpointStatus,
    endpoint: endpoint.ledger.spec.id,
    status,
  });
}
