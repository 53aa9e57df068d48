import { type Demand, makeZeroDemand } from "../jobs/mod.ts";
import { isEvacuated } from "./evacuated_domains.ts";
import {
  canAcceptStarts,
  isEligible,
  listEjected,
  listOnTrial,
  type PlacementView,
} from "./placement.ts";
import { makeHeadroom } from "./headroom.ts";
import { makeReleases, type Releases } from "./releases.ts";
import type { CellState } from "./state.ts";
import type { SpeedTiers } from "./speed_tiers.ts";
import { getStep } from "./stages.ts";
import { collectTrials, type Trials } from "./trials.ts";
import type { Endpoint, Stage } from "./types.ts";

/** State of one planning pass over all ready stages. */
export interface PlacementPass extends PlacementView {
  services: Map<string, ServiceView>;
  /** Names of the tasks of which a run, current or not, is being stopped. */
  stoppingTasks: Set<string>;
  /** Trials of suspects in progress, those of this pass included. */
  trials: Trials;
  /** Number of gangs that do not fit yet but reserve capacity in this pass. */
  reservedGangs: number;
  /** Tiers of the services that were looked up; `undefined`: not uneven. */
  speedTiers: Map<string, SpeedTiers | undefined>;
  releases: Releases;
}

/** Endpoints of one service during a pass. */
export interface ServiceView {
  /** Listed endpoints that are not draining, in domains that are not evacuated. */
  listed: Endpoint[];
  /** The listed endpoints that have a label, by label; filled when needed. */
  listedByLabel: Map<string, Endpoint[]>;
  /**
   * Listed endpoints that accept start orders now, are not ejected and have no run
   * on probation.
   */
  accepting: Set<Endpoint>;
  /**
   * Largest amount of free cores and of free memory, each over all accepting
   * endpoints; `accelerators` stays 0.
   */
  maxFree: Demand;
}

/** Begins a planning pass. */
export function beginPlacementPass(
  state: CellState,
  now: number,
): PlacementPass {
  const trials = collectTrials(state, now);
  return {
    state,
    now,
    reservations: new Map(),
    onTrial: listOnTrial(state, now),
    services: collectServices(state, { trials, now }),
    trials,
    stoppingTasks: new Set([...state.stoppingRuns].map(({ task }) => task)),
    reservedGangs: 0,
    speedTiers: new Map(),
    releases: makeReleases(),
    headroom: makeHeadroom(),
  };
}

/**
 * Lists the endpoints that could run the stage if they were idle and the policy
 * service allowed them.
 */
export function listEligible(service: ServiceView, stage: Stage): Endpoint[] {
  const { requiredLabel } = getStep(stage);
  return listWithLabel(service, requiredLabel).filter((endpoint) =>
    isEligible(endpoint, stage)
  );
}

/**
 * Lists the endpoints that could run the stage, that the policy service allows
 * and that accept starts now. With advice, examines only the allowed endpoints:
 * a waiting stage then costs the same in a cell of any size.
 */
export function listUsable(
  pass: PlacementPass,
  service: ServiceView,
  stage: Stage,
): Endpoint[] {
  if (!stage.job.spec.queue.advice) {
    return listEligible(service, stage).filter((endpoint) =>
      service.accepting.has(endpoint)
    );
  }
  const usable: Endpoint[] = [];
  for (const id of stage.advice.allowedEndpoints.keys()) {
    const endpoint = pass.state.endpoints.get(id);
    if (
      endpoint && service.accepting.has(endpoint) && isEligible(endpoint, stage)
    ) usable.push(endpoint);
  }
  return usable;
}

/** Returns the free capacity of an endpoint, in thousandths of a core. */
export function measureFreeCores(endpoint: Endpoint): number {
  return endpoint.info.capacity.milliCores - endpoint.used.milliCores;
}

function listWithLabel(service: ServiceView, label: string): Endpoint[] {
  if (label === "") return service.listed;
  let labelled = service.listedByLabel.get(label);
  if (!labelled) {
    labelled = service.listed.filter(({ info }) => info.labels.includes(label));
    service.listedByLabel.set(label, labelled);
  }
  return labelled;
}

function collectServices(
  state: CellState,
  { trials, now }: { trials: Trials; now: number },
): Map<string, ServiceView> {
  const services = new Map<string, ServiceView>();
  const ejected = listEjected(state, now);
  for (const endpoint of state.endpoints.values()) {
    const { info, used } = endpoint;
    if (!endpoint.isListed || info.isDraining) continue;
    if (isEvacuated(state, endpoint)) continue;
    let service = services.get(info.service);
    if (!service) {
      service = {
        listed: [],
        listedByLabel: new Map(),
        accepting: new Set(),
        maxFree: makeZeroDemand(),
      };
      services.set(info.service, service);
    }
    service.listed.push(endpoint);
    if (ejected.has(endpoint) || !canAcceptStarts(endpoint, now)) continue;
    if (trials.endpoints.has(endpoint)) continue;
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
