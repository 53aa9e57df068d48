import type { EndpointListing } from "../../endpoints/mod.ts";
import { LISTING_PROOF_DELAY_MS, MIN_MISSING_LISTINGS } from "../constants.ts";
import type { EndpointState } from "../endpoint_state.ts";
import { type Hold, HoldReason } from "../ledger.ts";
import { releaseTask } from "../attempts.ts";
import type { ActionContext } from "../state.ts";
import { DecisionType, EndpointStatus } from "../types.ts";
import { startWaitingAttempts } from "./start_waiting.ts";

/** Reconciles the ledger with an endpoint's own list of running tasks. */
export function observeListing(
  context: ActionContext,
  event: { endpoint: string; listing: EndpointListing; sentAt: number },
): void {
  const endpoint = context.state.endpoints.get(event.endpoint);
  if (!endpoint) return;
  const previousStatus = endpoint.status;
  adoptTasks(context, endpoint, event);
  releaseMissingTasks(context, endpoint, event);
  endpoint.leaving = event.listing.leaving;
  endpoint.reachable = true;
  endpoint.recovered = true;
  recordStatus(context, endpoint, { previousStatus });
  startWaitingAttempts(context);
}

/**
 * Marks an endpoint as unreachable after a failed call. Its tasks may still
 * run, so their holds stay.
 */
export function recordListFailure(context: ActionContext, id: string): void {
  const endpoint = context.state.endpoints.get(id);
  if (!endpoint) return;
  const previousStatus = endpoint.status;
  endpoint.reachable = false;
  recordStatus(context, endpoint, { previousStatus });
}

/** Adds holds for listed tasks that the ledger does not contain. */
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
    if (mayPredateEnd(context, task.id, event)) continue;
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

/**
 * Returns whether the endpoint may have made the listing before the task ended.
 * A listing that was in flight together with the task's answer can still
 * contain the task.
 */
function mayPredateEnd(
  context: ActionContext,
  task: string,
  event: { sentAt: number },
): boolean {
  const endedAt = context.state.attempts.get(task)?.endedAt;
  return endedAt !== undefined &&
    event.sentAt < endedAt + LISTING_PROOF_DELAY_MS;
}

/** Releases tasks that are missing from enough consecutive listings. */
function releaseMissingTasks(
  context: ActionContext,
  endpoint: EndpointState,
  event: { listing: EndpointListing; sentAt: number },
): void {
  const running = new Set(event.listing.tasks.map((task) => task.id));
  for (const hold of [...endpoint.ledger.list()]) {
    if (running.has(hold.id) || !isReleasedByListings(hold)) continue;
    if (event.sentAt < hold.since + LISTING_PROOF_DELAY_MS) continue;
    hold.missing += 1;
    if (hold.missing < MIN_MISSING_LISTINGS) continue;
    releaseTask(context.state, hold.id, { endpoint });
  }
}

/**
 * Returns whether only listings can show that the task has ended, because no
 * exchange with the endpoint is open for it.
 */
function isReleasedByListings(hold: Hold): boolean {
  return hold.reason === HoldReason.Service ||
    hold.reason === HoldReason.Adopted ||
    hold.reason === HoldReason.Uncertain;
}

/** Adds a decision if the endpoint's status has changed. */
function recordStatus(
  context: ActionContext,
  endpoint: EndpointState,
  options: { previousStatus: EndpointStatus },
): void {
  const { status } = endpoint;
  if (status === options.previousStatus) return;
  context.decisions.push({
    type: DecisionType.EndpointStatus,
    endpoint: endpoint.ledger.spec.id,
    status,
  });
}
