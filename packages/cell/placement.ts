import {
  countFits,
  type Demand,
  fitsInto,
  getRoomDemand,
  makeNoDemand,
  type StepSpec,
} from "../jobs/mod.ts";

import { MAX_EJECTED_PART, TICKET_MARGIN_MS } from "./constants.ts";
import type { CellState } from "./state.ts";
import { getStep } from "./stages.ts";
import type { Endpoint, Stage } from "./types.ts";

const NOTHING: Readonly<Demand> = makeNoDemand();

/** Room that is kept free on endpoints for gangs that go first. */
export type Reservations = Map<Endpoint, Demand>;

/** What a placement pass looks at. */
export interface PlacementView {
  state: CellState;
  now: number;
  reservations: Reservations;
}

/** Tells whether an endpoint could ever run the tasks of a stage. */
export function canServe(endpoint: Endpoint, stage: Stage): boolean {
  const step = getStep(stage);
  const { info } = endpoint;
  return endpoint.isListed && !endpoint.isReplaced && !info.isDraining &&
    info.service === stage.job.spec.queue.service &&
    (step.requiredLabel === "" || info.labels.includes(step.requiredLabel)) &&
    fitsInto(getRoomDemand(step), info.capacity, NOTHING);
}

/** Tells whether an endpoint takes orders now. */
export function canStart(endpoint: Endpoint, now: number): boolean {
  return endpoint.isHeld && endpoint.isRecorded && !endpoint.isClosing &&
    now >= endpoint.pausedUntil && now >= endpoint.silentUntil;
}

/** Tells whether an endpoint that failed its tasks may be used again. */
function isTrusted(endpoint: Endpoint, now: number): boolean {
  if (endpoint.ejectedUntil === 0) return true;
  return now >= endpoint.ejectedUntil && endpoint.runs.size === 0;
}

/** Lists the endpoints that are ejected, at most a part of each service. */
export function listEjected(state: CellState, now: number): Set<Endpoint> {
  const ejected = [...state.endpoints.values()]
    .filter((endpoint) => endpoint.isListed && !isTrusted(endpoint, now))
    .sort((a, b) => b.failuresInRow - a.failuresInRow);
  const most = Math.floor(state.endpoints.size * MAX_EJECTED_PART);
  return new Set(ejected.slice(0, most));
}

/** Tells whether the stage holds a ticket that the endpoint still takes. */
export function hasTicket(
  { now }: PlacementView,
  stage: Stage,
  endpoint: Endpoint,
): boolean {
  if (!stage.job.spec.queue.advice) return true;
  const ticket = stage.advice.allowed.get(endpoint.info.id);
  return ticket !== undefined && ticket.bornAt === endpoint.bornAt &&
    now < ticket.expiresAt - TICKET_MARGIN_MS;
}

/** Tells whether the policy allows the endpoint, with or without a ticket. */
export function isAllowed(stage: Stage, endpoint: Endpoint): boolean {
  return !stage.job.spec.queue.advice ||
    stage.advice.allowed.has(endpoint.info.id);
}

/** Counts the tasks of a step that an endpoint can take now. */
export function countRoom(
  view: PlacementView,
  endpoint: Endpoint,
  stage: Stage,
): number {
  const step = getStep(stage);
  const reserved = view.reservations.get(endpoint);
  const used = reserved
    ? {
      milliCores: endpoint.used.milliCores + reserved.milliCores,
      memoryMb: endpoint.used.memoryMb + reserved.memoryMb,
      accelerators: endpoint.used.accelerators + reserved.accelerators,
    }
    : endpoint.used;
  const demand = getRoomDemand(step);
  if (!fitsInto(demand, endpoint.info.capacity, used)) return 0;
  const room = countFits(demand, endpoint.info.capacity, used);
  return Math.min(room, countSpread(endpoint, stage, step));
}

/** Counts how many tasks an organisation may start below its cap. */
export function countBelowCap(state: CellState, stage: Stage): number {
  const { organisation } = stage.job.spec;
  const cap = state.organisations.get(organisation)?.cap;
  if (!cap) return Number.MAX_SAFE_INTEGER;
  const capacity = {
    milliCores: cap.milliCores || Number.MAX_SAFE_INTEGER,
    memoryMb: cap.memoryMb || Number.MAX_SAFE_INTEGER,
    accelerators: cap.accelerators || Number.MAX_SAFE_INTEGER,
  };
  const used = state.usage.get(organisation) ?? NOTHING;
  return countFits(getStep(stage).demand, capacity, used);
}

/** Lists the racks of some endpoints by their labels of one kind. */
export function splitByRack(endpoints: Endpoint[]): Endpoint[][] {
  const racks = new Map<string, Endpoint[]>();
  for (const endpoint of endpoints) {
    const { rack } = endpoint.info;
    const group = racks.get(rack);
    if (group) group.push(endpoint);
    else racks.set(rack, [endpoint]);
  }
  return [...racks.values()];
}

function countSpread(
  endpoint: Endpoint,
  stage: Stage,
  step: StepSpec,
): number {
  if (step.maxPerEndpoint <= 0) return Number.MAX_SAFE_INTEGER;
  let running = 0;
  for (const { run } of stage.tasks) {
    if (run?.endpoint === endpoint) running++;
  }
  return Math.max(0, step.maxPerEndpoint - running);
}
