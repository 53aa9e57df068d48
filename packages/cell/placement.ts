import {
  countFits,
  type Demand,
  fitsInto,
  getCapacityDemand,
  makeZeroDemand,
} from "../jobs/mod.ts";

import { MAX_EJECTED_FRACTION, TICKET_MARGIN_MS } from "./constants.ts";
import { isEvacuated } from "./evacuated_domains.ts";
import { findReserved, type Headroom } from "./headroom.ts";
import type { CellState } from "./state.ts";
import { getStep } from "./stages.ts";
import type { Endpoint, Stage } from "./types.ts";

const NO_DEMAND: Readonly<Demand> = makeZeroDemand();

/** Capacity reserved on endpoints for gangs that can't start yet. */
export type Reservations = Map<Endpoint, Demand>;

/** Input of placement decisions, with the reservations made so far. */
export interface PlacementView {
  state: CellState;
  now: number;
  reservations: Reservations;
  /** Room that is kept free for urgent work. */
  headroom: Headroom;
  /**
   * Endpoints whose ejection time is over and on which no run has succeeded
   * since: they get one task at a time.
   */
  onTrial: ReadonlySet<Endpoint>;
}

/**
 * Returns whether an endpoint could run a task of the stage if it were idle,
 * regardless of whether it accepts starts now.
 */
export function isEligible(endpoint: Endpoint, stage: Stage): boolean {
  const step = getStep(stage);
  const { info } = endpoint;
  return endpoint.isListed && !endpoint.isReplaced && !info.isDraining &&
    info.service === stage.job.spec.queue.service &&
    (step.requiredLabel === "" || hasLabel(endpoint, step.requiredLabel)) &&
    fitsInto(getCapacityDemand(step), info.capacity, NO_DEMAND);
}

/**
 * Returns whether an endpoint has a label. Its next lifetime may be of another kind:
 * while its record is of a former one, its labels are not known.
 */
function hasLabel({ info, bornAt }: Endpoint, label: string): boolean {
  const isOutdated = info.bornAt !== 0 && bornAt !== 0 &&
    info.bornAt !== bornAt;
  return !isOutdated && info.labels.includes(label);
}

/** Returns whether an endpoint accepts start orders now. */
export function canAcceptStarts(endpoint: Endpoint, now: number): boolean {
  return canAcceptRepeats(endpoint, now) && now >= endpoint.unresponsiveUntil;
}

/** Returns whether an endpoint accepts repeats of starts that it did not answer. */
export function canAcceptRepeats(endpoint: Endpoint, now: number): boolean {
  return endpoint.hasAcceptedFence && endpoint.isRecorded &&
    !endpoint.isCordoned && !endpoint.isRecordOutdated &&
    now >= Math.max(endpoint.pausedUntil, endpoint.lateAckUntil);
}

/**
 * Returns whether an endpoint is not ejected. After the ejection time, and
 * until a run succeeds, an endpoint gets new work only while it runs nothing.
 */
function isHealthy(endpoint: Endpoint, now: number): boolean {
  if (endpoint.ejectedUntil === 0) return true;
  return now >= endpoint.ejectedUntil && endpoint.runs.size === 0;
}

/** Returns whether any endpoint is ejected or has not succeeded since. */
function hasEjections({ endpoints }: CellState): boolean {
  for (const { ejectedUntil } of endpoints.values()) {
    if (ejectedUntil !== 0) return true;
  }
  return false;
}

/**
 * Returns the endpoints whose ejection time is over, that run nothing, and on
 * which no run has succeeded since.
 */
export function listOnTrial(state: CellState, now: number): Set<Endpoint> {
  if (!hasEjections(state)) return new Set();
  const onTrial = [...state.endpoints.values()].filter((endpoint) =>
    endpoint.ejectedUntil !== 0 && isHealthy(endpoint, now)
  );
  return new Set(onTrial);
}

/**
 * Returns the ejected endpoints. At most a fraction of the endpoints of a service
 * is ejected at a time, those with the most consecutive failures first; one may
 * be if the service has another.
 */
export function listEjected(state: CellState, now: number): Set<Endpoint> {
  if (!hasEjections(state)) return new Set();
  const usable = [...state.endpoints.values()].filter((endpoint) =>
    endpoint.isListed && !endpoint.info.isDraining &&
    !isEvacuated(state, endpoint)
  );
  const ejected = splitBy(usable, ({ info }) => info.service)
    .flatMap((endpoints) => {
      const maxEjected = Math.max(
        Math.floor(endpoints.length * MAX_EJECTED_FRACTION),
        Math.min(1, endpoints.length - 1),
      );
      return endpoints
        .filter((endpoint) => !isHealthy(endpoint, now))
        .sort((a, b) => b.failuresInRow - a.failuresInRow)
        .slice(0, maxEjected);
    });
  return new Set(ejected);
}

/**
 * Returns whether the stage has a valid ticket for the endpoint or needs none.
 * Tickets are bound to one lifetime of the endpoint.
 */
export function hasTicket(
  { now }: PlacementView,
  stage: Stage,
  endpoint: Endpoint,
): boolean {
  if (!stage.job.spec.queue.advice) return true;
  const ticket = stage.advice.allowedEndpoints.get(endpoint.info.id);
  return ticket !== undefined && ticket.bornAt === endpoint.bornAt &&
    now < ticket.expiresAt - TICKET_MARGIN_MS;
}

/**
 * Counts how many more tasks of a stage fit on an endpoint now, next to its
 * runs and reservations and within `maxPerEndpoint`.
 */
export function countFittingTasks(
  view: PlacementView,
  endpoint: Endpoint,
  stage: Stage,
): number {
  const step = getStep(stage);
  const reserved = findReserved(view, endpoint, stage);
  const used = reserved
    ? {
      milliCores: endpoint.used.milliCores + reserved.milliCores,
      memoryMb: endpoint.used.memoryMb + reserved.memoryMb,
      accelerators: endpoint.used.accelerators + reserved.accelerators,
    }
    : endpoint.used;
  const demand = getCapacityDemand(step);
  if (!fitsInto(demand, endpoint.info.capacity, used)) return 0;
  if (view.onTrial.has(endpoint)) return endpoint.runs.size === 0 ? 1 : 0;
  const fittingCount = countFits(demand, endpoint.info.capacity, used);
  return Math.min(fittingCount, countBelowEndpointLimit(endpoint, stage));
}

/**
 * Counts how many tasks of a stage its organisation's quota still permits: none
 * until the rules of the organisations are known.
 */
export function countWithinQuota(state: CellState, stage: Stage): number {
  const { organisation } = stage.job.spec;
  if (!state.organisations) return 0;
  const quota = findQuota(state, organisation);
  if (!quota) return Number.MAX_SAFE_INTEGER;
  const used = state.usage.get(organisation) ?? NO_DEMAND;
  return countFits(getStep(stage).demand, quota, used);
}

/** Returns whether an organisation uses more than its quota, which may be lowered. */
export function isOverQuota(state: CellState, organisation: string): boolean {
  const quota = findQuota(state, organisation);
  const used = state.usage.get(organisation) ?? NO_DEMAND;
  return quota !== undefined && !fitsInto(NO_DEMAND, quota, used);
}

/** Finds the quota of an organisation, with unlimited resources as the largest number. */
function findQuota(state: CellState, organisation: string): Demand | undefined {
  const cap = state.organisations?.get(organisation)?.cap;
  return cap && {
    milliCores: cap.milliCores || Number.MAX_SAFE_INTEGER,
    memoryMb: cap.memoryMb || Number.MAX_SAFE_INTEGER,
    accelerators: cap.accelerators || Number.MAX_SAFE_INTEGER,
  };
}

/** Groups endpoints by rack. */
export function splitByRack(endpoints: Endpoint[]): Endpoint[][] {
  return splitBy(endpoints, ({ info }) => info.rack);
}

function splitBy(
  endpoints: Endpoint[],
  getName: (endpoint: Endpoint) => string,
): Endpoint[][] {
  const groups = new Map<string, Endpoint[]>();
  for (const endpoint of endpoints) {
    const name = getName(endpoint);
    const group = groups.get(name);
    if (group) group.push(endpoint);
    else groups.set(name, [endpoint]);
  }
  return [...groups.values()];
}

/**
 * Counts how many more tasks `maxPerEndpoint` permits on an endpoint. Runs that
 * are being stopped count, whether they are their task's current run or not.
 */
export function countBelowEndpointLimit(
  endpoint: Endpoint,
  stage: Stage,
): number {
  const step = getStep(stage);
  if (step.maxPerEndpoint <= 0) return Number.MAX_SAFE_INTEGER;
  let running = 0;
  for (const { name } of stage.tasks) {
    if (endpoint.runs.has(name)) running++;
  }
  return Math.max(0, step.maxPerEndpoint - running);
}
