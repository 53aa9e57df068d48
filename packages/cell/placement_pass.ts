import { type Demand, makeNoDemand } from "../jobs/mod.ts";
import {
  canServe,
  canStart,
  isAllowed,
  listEjected,
  type PlacementView,
} from "./placement.ts";
import type { CellState } from "./state.ts";
import type { Endpoint, Stage } from "./types.ts";

/** One plan: what it looks at and what it has reserved so far. */
export interface Pass extends PlacementView {
  services: Map<string, ServiceView>;
  reservedGangs: number;
}

/** The endpoints of a service in one pass. */
export interface ServiceView {
  /** May run tasks. */
  serving: Endpoint[];
  /** Take orders now. */
  open: Set<Endpoint>;
  /** No endpoint has more free than this. */
  mostFree: Demand;
}

/** The endpoints that a stage may use. */
export interface Candidates {
  /** May run the stage, if the policy allows it. */
  serving: Endpoint[];
  /** Allowed, and takes orders now. */
  usable: Endpoint[];
}

/** Begins a plan. */
export function beginPass(state: CellState, now: number): Pass {
  return {
    state,
    now,
    reservations: new Map(),
    services: collectServices(state, now),
    reservedGangs: 0,
  };
}

/** Lists the endpoints that a stage may use. */
export function listCandidates(
  service: ServiceView,
  stage: Stage,
): Candidates {
  const serving = service.serving.filter((endpoint) =>
    canServe(endpoint, stage)
  );
  const usable = serving.filter((endpoint) =>
    service.open.has(endpoint) && isAllowed(stage, endpoint)
  );
  return { serving, usable };
}

/** Measures what an endpoint has free, in thousandths of a core. */
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
      service = { serving: [], open: new Set(), mostFree: makeNoDemand() };
      services.set(info.service, service);
    }
    service.serving.push(endpoint);
    if (ejected.has(endpoint) || !canStart(endpoint, now)) continue;
    service.open.add(endpoint);
    const { mostFree } = service;
    mostFree.milliCores = Math.max(
      mostFree.milliCores,
      info.capacity.milliCores - used.milliCores,
    );
    mostFree.memoryMb = Math.max(
      mostFree.memoryMb,
      info.capacity.memoryMb - used.memoryMb,
    );
  }
  return services;
}
