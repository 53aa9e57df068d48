import {
  EJECTION_MARGIN,
  MAX_EJECTED_FRACTION,
  MIN_FAILURES,
  PROBE_DELAY_MS,
} from "../constants.ts";
import type { EndpointState } from "../endpoint_state.ts";
import type { ActionContext, EngineState } from "../state.ts";
import { DecisionType, EndpointStatus } from "../types.ts";

/**
 * Ejects an endpoint that fails far more often than its peers, and readmits an
 * ejected one after a successful probe.
 */
export function updateEjection(
  context: ActionContext,
  endpoint: EndpointState,
): void {
  const { state, now, decisions } = context;
  if (endpoint.nextProbeAt !== undefined) {
    settleProbe(context, endpoint);
    return;
  }
  if (endpoint.failures < MIN_FAILURES) return;
  const peerFailureRate = computePeerFailureRate(state, endpoint);
  if (endpoint.failureRate < peerFailureRate + EJECTION_MARGIN) return;
  if (!mayEjectOneMore(state)) return;
  endpoint.nextProbeAt = now + PROBE_DELAY_MS;
  endpoint.clearResults();
  decisions.push({
    type: DecisionType.EndpointStatus,
    endpoint: endpoint.ledger.spec.id,
    status: EndpointStatus.Ejected,
  });
}

/**
 * Readmits an ejected endpoint after a successful probe, or delays the next
 * probe after a failed one.
 */
function settleProbe(
  context: ActionContext,
  endpoint: EndpointState,
): void {
  if (endpoint.failures > 0) {
    endpoint.clearResults();
    endpoint.nextProbeAt = context.now + PROBE_DELAY_MS;
    return;
  }
  if (endpoint.successes === 0) return;
  endpoint.nextProbeAt = undefined;
  context.decisions.push({
    type: DecisionType.EndpointStatus,
    endpoint: endpoint.ledger.spec.id,
    status: endpoint.status,
  });
}

/** Returns the mean failure rate of an endpoint's peers; 0 without peers. */
function computePeerFailureRate(
  state: EngineState,
  endpoint: EndpointState,
): number {
  const peers = state.endpointList.filter((peer) => peer !== endpoint);
  if (peers.length === 0) return 0;
  const rateSum = peers.reduce((sum, peer) => sum + peer.failureRate, 0);
  return rateSum / peers.length;
}

/** Returns whether one more ejection stays within the allowed fraction. */
function mayEjectOneMore(state: EngineState): boolean {
  const ejected =
    state.endpointList.filter((endpoint) => endpoint.nextProbeAt !== undefined)
      .length;
  return ejected + 1 <= state.endpointList.length * MAX_EJECTED_FRACTION;
}
