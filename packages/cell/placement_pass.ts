import { type Demand, makeZeroDemand } from "../jobs/mod.ts";
import {
  canAcceptStarts,
  isAllowedByAdvice,
  isEligible,
  listEjected,
  type PlacementView,
} from "./placement.ts";
import type { CellState } from "./state.ts";
import type { Endpoint, Stage } from "./types.ts";

/** State of one planning pass over all ready stages. */
export interface PlacementPass extends PlacementView {
  services: Map<string, ServiceView>;
  /** Number of gangs that do not fit yet but reserve capacity in this pass. */
  reservedGangs: number;
}

/** Endpoints of one service during a pass. */
export interface ServiceView {
  /** Listed endpoints that are not draining. */
  eligible: Endpoint[];
  /** Eligible endpoints that accept start orders now and are not ejected. */
  accepting: Set<Endpoint>;
  /**
   * Largest amount of free cores and of free memory, each over all accepting
   * endpoints; `accelerators` stays 0.
   */
  maxFree: Demand;
}

/** Endpoints that a stage may use. */
export interface Candidates {
  /** Endpoints that could run the stage, if the policy service allows them. */
  eligible: Endpoint[];
  /**
   * Eligible endpoints that the policy service allows and that accept starts
   * now.
   */
  usable: Endpoint[];
}

/** Begins a planning pass. */
export function beginPlacementPass(
  state: CellState,
  now: number,
): PlacementPass {
  return {
    state,
    now,
    reservations: new Map(),
    services: collectServices(state, now),
    reservedGangs: 0,
  };
}

/** Lists the endpoints of a service that a stage may use. */
export function listCandidates(
  service: ServiceView,
  stage: Stage,
): Candidates {
  const eligible = service.eligible.filter((endpoint) =>
    isEligible(endpoint, stage)
  );
  const usable = eligible.filter((endpoint) =>
    service.accepting.has(endpoint) && isAllowedByAdvice(stage, endpoint)
  );
  return { eligible, usable };
}

/** Returns the free capacity of an endpoint, in thousandths of a core. */
export function measureFreeCores(endpoint: Endpoint): number {
  return endpoint.info.capacity.milliCores - endpoint.used.milliCores;
}

function collectServices(
  state: CellState,
  now: number,
): Map<string, ServiceView> {
  const services = new Map<string, ServiceView>();
  const ejected = listEjected(state, now);
  for (const endpoint of state.endpoints.values()) {
    const { info, used } = endpoint;
    if (!endpoint.isListed || info.isDraining) continue;
    let service = services.get(info.service);
    if (!service) {
      service = {
        eligible: [],
        accepting: new Set(),
        maxFree: makeZeroDemand(),
      };
      services.set(info.service, service);
    }
    service.eligible.push(endpoint);
    if (ejected.has(endpoint) || !canAcceptStarts(endpoint, now)) continue;
    service.accepting.add(endpoint);
    const { maxFree } = service;
    maxFree.milliCores = Math.max(
      maxFree.milliCores,
      info.capacity.milliCores - used.milliCores,
    );
    maxFree.memoryMb = Math.max(
      maxFree.memoryMb,
      info.capacity.memoryMb - used.memoryMb,
    );
  }
  return services;
}
