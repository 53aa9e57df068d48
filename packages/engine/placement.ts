import type { Random, Size } from "../base/mod.ts";
import { WorkKind } from "../base/mod.ts";
import { PLACEMENT_SAMPLE, PLACEMENT_SCAN } from "./constants.ts";
import type { EndpointState } from "./endpoint_state.ts";

/** What has to be placed. */
export interface PlacementRequest {
  kind: WorkKind;
  size: Size;
}

/** Endpoints to choose from, and how to tell whether one may be used. */
export interface PlacementChoice {
  endpoints: readonly EndpointState[];
  canUse: (endpoint: EndpointState) => boolean;
}

/** Chooses the endpoint for a task. */
export abstract class PlacementPolicy {
  /** Returns an endpoint that has room, or nothing when none has. */
  abstract choose(
    request: PlacementRequest,
    choice: PlacementChoice,
  ): EndpointState | undefined;
}

/** Takes the first endpoint with room: a baseline. */
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
 * Scores a sample of endpoints: services go to the emptiest, so that they
 * spread over racks; other work goes where the least room is left over.
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
    let seen = 0;
    const steps = Math.min(endpoints.length, PLACEMENT_SCAN);
    for (let step = 0; step < steps; step++) {
      const endpoint = endpoints[(offset + step) % endpoints.length];
      if (!endpoint.ledger.fits(request.size)) continue;
      if (!choice.canUse(endpoint)) continue;
      const score = scoreEndpoint(endpoint, request);
      if (score < bestScore) {
        best = endpoint;
        bestScore = score;
      }
      seen += 1;
      if (seen === PLACEMENT_SAMPLE) break;
    }
    return best;
  }
}

function scoreEndpoint(
  endpoint: EndpointState,
  request: PlacementRequest,
): number {
  const left = computeLeftover(endpoint, request.size);
  return request.kind === WorkKind.Service ? -left : left;
}

/** Returns the free part of the endpoint's scarcest resource afterwards. */
function computeLeftover(endpoint: EndpointState, size: Size): number {
  const { spec, used, freeSlots } = endpoint.ledger;
  return Math.min(
    (spec.size.cores - used.cores - size.cores) / spec.size.cores,
    (spec.size.memoryMb - used.memoryMb - size.memoryMb) / spec.size.memoryMb,
    (freeSlots - 1) / spec.slots,
  );
}
