import type { Random, Size } from "../base/mod.ts";
import { WorkKind } from "../base/mod.ts";
import { MAX_SCANNED_ENDPOINTS, PLACEMENT_SAMPLE_SIZE } from "./constants.ts";
import type { EndpointState } from "./endpoint_state.ts";

/** A task that needs an endpoint. */
export interface PlacementRequest {
  kind: WorkKind;
  size: Size;
}

/** Candidate endpoints and a filter for those that may be used. */
export interface PlacementChoice {
  endpoints: readonly EndpointState[];
  canUse: (endpoint: EndpointState) => boolean;
}

/** Chooses the endpoint for a task. */
export abstract class PlacementPolicy {
  /** Returns a usable endpoint into which the task fits, if there is one. */
  abstract choose(
    request: PlacementRequest,
    choice: PlacementChoice,
  ): EndpointState | undefined;
}

/** Chooses the first endpoint that fits, as a baseline for comparisons. */
export class FirstFitPlacement extends PlacementPolicy {
  override choose(
    request: PlacementRequest,
    choice: PlacementChoice,
  ): EndpointState | undefined {
    return choice.endpoints.find((endpoint) =>
      endpoint.ledger.fits(request.size) && choice.canUse(endpoint)
    );
  }
}

/**
 * Scores the first usable endpoints that follow a random position in the list.
 * A service goes to the one with the most resources left over, so that services
 * spread over endpoints and racks; other work goes to the best fit, the one
 * with the least resources left over.
 */
export class SampledPlacement extends PlacementPolicy {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override choose(
    request: PlacementRequest,
    choice: PlacementChoice,
  ): EndpointState | undefined {
    const { endpoints } = choice;
    if (endpoints.length === 0) return undefined;
    const offset = this.#random.drawInt(endpoints.length);
    let best: EndpointState | undefined;
    let bestScore = Infinity;
    let scored = 0;
    const steps = Math.min(endpoints.length, MAX_SCANNED_ENDPOINTS);
    for (let step = 0; step < steps; step++) {
      const endpoint = endpoints[(offset + step) % endpoints.length];
      if (!endpoint.ledger.fits(request.size)) continue;
      if (!choice.canUse(endpoint)) continue;
      const score = scoreEndpoint(endpoint, request);
      if (score < bestScore) {
        best = endpoint;
        bestScore = score;
      }
      scored += 1;
      if (scored === PLACEMENT_SAMPLE_SIZE) break;
    }
    return best;
  }
}

/** Returns the score of an endpoint; the lowest score is the best. */
function scoreEndpoint(
  endpoint: EndpointState,
  request: PlacementRequest,
): number {
  const leftover = computeLeftover(endpoint, request.size);
  return request.kind === WorkKind.Service ? -leftover : leftover;
}

/**
 * Returns the smallest of the fractions of the endpoint's cores, memory and
 * slots that are free after the task has started.
 */
function computeLeftover(endpoint: EndpointState, size: Size): number {
  const { spec, used, freeSlots } = endpoint.ledger;
  return Math.min(
    (spec.size.cores - used.cores - size.cores) / spec.size.cores,
    (spec.size.memoryMb - used.memoryMb - size.memoryMb) / spec.size.memoryMb,
    (freeSlots - 1) / spec.slots,
  );
}
