import {
  addDemand,
  countFits,
  type Demand,
  fitsInto,
  getCapacityDemand,
  makeZeroDemand,
} from "../jobs/mod.ts";
import { measureFreeCores, type PlacementPass } from "./placement_pass.ts";
import { HeadroomName } from "./policies.ts";
import { findSpeedTiers, getTier } from "./speed_tiers.ts";
import { getStep } from "./stages.ts";
import { addDecision } from "./state.ts";
import { DecisionKind, type Endpoint, type Stage } from "./types.ts";
import { isUrgent } from "./urgency.ts";
import { estimateUrgentDemand, observeUrgentUse } from "./urgent_use.ts";

/** Largest share of a service's cores that is kept free for urgent work. */
const MAX_HEADROOM_SHARE = 0.2;

/** Change of the headroom that is logged, as a share of the service's cores. */
const LOGGED_CHANGE_SHARE = 0.02;

/** Shortest time between two log lines about a service's headroom, in ms. */
const LOG_INTERVAL_MS = 1_000;

/** Room that is kept free for urgent work in a pass. */
export interface Headroom {
  /** Services whose headroom was reserved in this pass. */
  services: Set<string>;
  reserved: Map<Endpoint, Demand>;
  /** Stages that fit nowhere beside the headroom, and to which it does not apply. */
  exempt: Set<Stage>;
  /** Largest free and smallest idle room of an endpoint beside it, by service. */
  beside: Map<string, { free: Demand; idle: Demand }>;
}

/** Makes the headroom of a new pass. */
export function makeHeadroom(): Headroom {
  return {
    services: new Set(),
    reserved: new Map(),
    exempt: new Set(),
    beside: new Map(),
  };
}

/** Observes urgent work for the headroom of later plans. */
export function observeHeadroom(pass: PlacementPass): void {
  const { state, now } = pass;
  if (state.policies.names.headroom !== HeadroomName.Learned) return;
  observeUrgentUse(state, now);
  // Nothing is kept free in a service in which no other work waits.
  for (const kept of state.placement.headroom.values()) kept.milliCores = 0;
}

/**
 * Reserves room for urgent work before other work of its service is placed. Load:
 * bursts of short urgent tasks in a service that is full of longer work; they would be
 * late before the first of the longer runs ends. Room is kept on the fastest endpoints,
 * in multiples of the widest recent urgent task.
 */
export function reserveHeadroom(pass: PlacementPass, stage: Stage): void {
  const { state, headroom } = pass;
  if (state.policies.names.headroom !== HeadroomName.Learned) return;
  const { service } = stage.job.spec.queue;
  if (isUrgent(stage) || headroom.services.has(service)) return;
  headroom.services.add(service);
  // Stages more urgent than this one have been placed: what they use now is known.
  observeUrgentUse(state, pass.now);
  const demand = estimateUrgentDemand(state, service);
  const view = pass.services.get(service);
  const accepting = [...view?.accepting ?? []];
  const serviceMilliCores = accepting.reduce(
    (sum, { info }) => sum + info.capacity.milliCores,
    0,
  );
  const limit = serviceMilliCores * MAX_HEADROOM_SHARE;
  const target = demand
    ? Math.min(
      limit,
      demand.usualMilliCores - demand.runningMilliCores,
    )
    : 0;
  const reservedMilliCores = demand
    ? reserveOnFastest(pass, service, { accepting, target, task: demand.task })
    : 0;
  if (reservedMilliCores > 0) measureBeside(pass, service, accepting);
  noteHeadroom(pass, service, {
    milliCores: reservedMilliCores,
    targetMilliCores: Math.max(0, target),
    usualMilliCores: demand?.usualMilliCores ?? 0,
    runningMilliCores: demand?.runningMilliCores ?? 0,
    limitMilliCores: limit,
    serviceMilliCores,
  });
}

/**
 * Reserves whole tasks on the fastest endpoints, those with the most free cores first.
 * Room that is not free yet is reserved too: cores that become free one after the other
 * add up only if no smaller task takes them.
 */
function reserveOnFastest(
  pass: PlacementPass,
  service: string,
  options: { accepting: Endpoint[]; target: number; task: Demand },
): number {
  const { accepting, target, task } = options;
  let wanted = Math.floor(target / task.milliCores);
  if (wanted <= 0) return 0;
  const { reserved } = pass.headroom;
  const tiers = findSpeedTiers(pass, service);
  const sorted = accepting
    .filter(({ info }) => fitsInto(task, info.capacity, makeZeroDemand()))
    .map((endpoint) => ({
      endpoint,
      tier: tiers ? getTier(tiers, endpoint) : 0,
      free: measureFreeCores(endpoint) -
        (pass.reservations.get(endpoint)?.milliCores ?? 0),
    }))
    .sort((a, b) => a.tier - b.tier || compareFree(task, a, b));
  let milliCores = 0;
  for (const { endpoint, free } of sorted) {
    if (wanted <= 0) break;
    const fitting = Math.max(1, Math.floor(free / task.milliCores));
    const tasks = Math.min(wanted, fitting);
    const kept = reserved.get(endpoint) ?? makeZeroDemand();
    addDemand(kept, task, tasks);
    reserved.set(endpoint, kept);
    wanted -= tasks;
    milliCores += tasks * task.milliCores;
  }
  return milliCores;
}

/**
 * Compares the free cores of two endpoints: those that hold a task first, the fullest of
 * them first, which keeps others idle for gangs; then those that will hold one soonest.
 */
function compareFree(
  { milliCores }: Demand,
  a: { free: number },
  b: { free: number },
): number {
  const holdsA = a.free >= milliCores;
  const holdsB = b.free >= milliCores;
  if (holdsA !== holdsB) return holdsA ? -1 : 1;
  return holdsA ? a.free - b.free : b.free - a.free;
}

/**
 * Finds what is reserved on an endpoint as far as a stage goes: for gangs that wait,
 * and for urgent work unless the stage is urgent itself.
 */
export function findReserved(
  view: Pick<PlacementPass, "reservations" | "headroom">,
  endpoint: Endpoint,
  stage: Stage,
): Demand | undefined {
  const reserved = view.reservations.get(endpoint);
  const { headroom } = view;
  const kept = headroom.reserved.get(endpoint);
  if (!kept || isUrgent(stage) || headroom.exempt.has(stage)) return reserved;
  if (!reserved) return kept;
  const sum = { ...reserved };
  addDemand(sum, kept);
  return sum;
}

/** Measures the room beside the headroom, once for each plan. */
function measureBeside(
  { headroom }: PlacementPass,
  service: string,
  accepting: readonly Endpoint[],
): void {
  const free = makeZeroDemand();
  const idle = {
    ...makeZeroDemand(),
    milliCores: Number.POSITIVE_INFINITY,
    memoryMb: Number.POSITIVE_INFINITY,
  };
  for (const endpoint of accepting) {
    const kept = headroom.reserved.get(endpoint) ?? makeZeroDemand();
    const { capacity } = endpoint.info;
    for (const amount of ["milliCores", "memoryMb"] as const) {
      const besideKept = capacity[amount] - kept[amount];
      idle[amount] = Math.min(idle[amount], besideKept);
      free[amount] = Math.max(
        free[amount],
        besideKept - endpoint.used[amount],
      );
    }
  }
  headroom.beside.set(service, { free, idle });
}

/**
 * Returns whether a task may fit beside the headroom. Load: hundreds of waiting stages
 * in a full service; the headroom alone would hold each of them, so that a plan would
 * examine all their endpoints. Tasks that some idle endpoint could not hold beside it
 * may be exempt, and count as fitting.
 */
export function mayFitBeside(
  { headroom }: PlacementPass,
  stage: Stage,
): boolean {
  const beside = headroom.beside.get(stage.job.spec.queue.service);
  if (!beside || isUrgent(stage)) return true;
  const demand = getCapacityDemand(getStep(stage));
  const { free, idle } = beside;
  const mayBeExempt = demand.accelerators > 0 ||
    demand.milliCores > idle.milliCores || demand.memoryMb > idle.memoryMb;
  return mayBeExempt || (demand.milliCores <= free.milliCores &&
    demand.memoryMb <= free.memoryMb);
}

/**
 * Exempts a stage from the headroom if it would not fit beside it even on idle
 * endpoints: a gang that needs almost the whole service, or tasks that only the
 * reserved endpoints can run. It would wait for as long as there is urgent work.
 */
export function noteExemption(
  pass: PlacementPass,
  stage: Stage,
  usable: readonly Endpoint[],
): void {
  const { headroom } = pass;
  if (headroom.reserved.size === 0 || isUrgent(stage)) return;
  const step = getStep(stage);
  const demand = getCapacityDemand(step);
  const limit = step.maxPerEndpoint || Number.MAX_SAFE_INTEGER;
  const wanted = step.gang ? stage.tasks.length : 1;
  let slots = 0;
  let slotsWithHeadroom = 0;
  for (const endpoint of usable) {
    const { info } = endpoint;
    const kept = headroom.reserved.get(endpoint);
    const idle = countFits(demand, info.capacity, makeZeroDemand());
    const beside = kept ? countFits(demand, info.capacity, kept) : idle;
    slots += Math.min(beside, limit);
    slotsWithHeadroom += Math.min(idle, limit);
    if (slots >= wanted) return;
  }
  if (slotsWithHeadroom >= wanted) headroom.exempt.add(stage);
}

/** Notes the headroom of a service, and logs it when it has changed much. */
function noteHeadroom(
  { state, now }: PlacementPass,
  service: string,
  inputs:
    & { milliCores: number; serviceMilliCores: number }
    & Record<
      string,
      number
    >,
): void {
  const { headroom } = state.placement;
  const { milliCores, serviceMilliCores } = inputs;
  const known = headroom.get(service);
  if (!known) {
    if (milliCores === 0) return;
    headroom.set(service, { milliCores, loggedMilliCores: 0, loggedAt: now });
    return;
  }
  known.milliCores = milliCores;
  const change = Math.abs(milliCores - known.loggedMilliCores);
  const isLarge = change > serviceMilliCores * LOGGED_CHANGE_SHARE;
  if (!isLarge || now - known.loggedAt < LOG_INTERVAL_MS) return;
  known.loggedMilliCores = milliCores;
  known.loggedAt = now;
  addDecision(state, {
    kind: DecisionKind.HeadroomChanged,
    subject: service,
    inputs,
  });
}
