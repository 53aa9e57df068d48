import { addDemand, type Demand, makeNoDemand } from "../jobs/mod.ts";
import { MAX_RESERVATIONS } from "./constants.ts";
import { noteLeaseSent } from "./endpoints.ts";
import { stopGang } from "./ends.ts";
import {
  canServe,
  canStart,
  countBelowCap,
  countRoom,
  hasTicket,
  isAllowed,
  listEjected,
  type PlacementView,
  splitByRack,
} from "./placement.ts";
import {
  addDecision,
  addPlacement,
  addRun,
  type CellState,
  removeWaiting,
} from "./state.ts";
import { getStep } from "./stages.ts";
import {
  DecisionKind,
  type Endpoint,
  OrderKind,
  type Run,
  RunPhase,
  type Stage,
  type Task,
  TaskPhase,
} from "./types.ts";

/** Most endpoints that one call for advice may name. */
const MAX_ADVICE_ENDPOINTS = 100;

interface Pass extends PlacementView {
  services: Map<string, ServiceView>;
  reservedGangs: number;
}

/** The endpoints of a service in one pass. */
interface ServiceView {
  /** May run tasks. */
  serving: Endpoint[];
  /** Take orders now. */
  open: Set<Endpoint>;
  /** No endpoint has more free than this. */
  mostFree: Demand;
}

interface Candidates {
  /** May run the stage, if the policy allows it. */
  serving: Endpoint[];
  /** Allowed, and takes orders now. */
  usable: Endpoint[];
}

/** Plans starts and calls for advice for all that waits. */
export function planStarts(state: CellState, now: number): void {
  const pass: Pass = {
    state,
    now,
    reservations: new Map(),
    services: collectServices(state, now),
    reservedGangs: 0,
  };
  for (const stage of sortStages(state, now)) {
    if (stage.waiting === 0 || stage.job.outcome) continue;
    planStage(pass, stage);
  }
}

function planStage(pass: Pass, stage: Stage): void {
  const service = pass.services.get(stage.job.spec.queue.service);
  if (!service) return;
  const { gang, demand } = getStep(stage);
  const isAsked = !stage.job.spec.queue.advice || stage.advice.asked.size > 0;
  const hasRoom = demand.milliCores <= service.mostFree.milliCores &&
    demand.memoryMb <= service.mostFree.memoryMb;
  // Under load most stages find no room at all: they cost next to nothing.
  if (isAsked && !gang && !hasRoom) return;
  const candidates = listCandidates(service, stage);
  if (!isAsked) return askAdvice(pass, stage, candidates.serving);
  if (!stage.job.isCommitted) return;
  if (gang) planGang(pass, stage, candidates);
  else planTasks(pass, stage, candidates);
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

/** Who is served first. */
enum Rank {
  Owed = 0,
  OverShare = 1,
  /** So late that its caller gains nothing more by it. */
  Expired = 2,
}

/**
 * Sorts the stages that wait: by rank and priority, what can be in time before
 * what is late, and then by due time. Answers the load "a backlog of short
 * work": late short work still goes before long work, and makes none late.
 */
function sortStages(state: CellState, now: number): Stage[] {
  const rank = ({ job }: Stage) => {
    if (now > job.expiresAt) return Rank.Expired;
    return job.isOverShare ? Rank.OverShare : Rank.Owed;
  };
  const isLate = ({ job }: Stage) => now > job.dueAt ? 1 : 0;
  return [...state.ready].sort((a, b) =>
    rank(a) - rank(b) ||
    a.job.spec.queue.priority - b.job.spec.queue.priority ||
    isLate(a) - isLate(b) ||
    a.job.dueAt - b.job.dueAt
  );
}

function listCandidates(service: ServiceView, stage: Stage): Candidates {
  const serving = service.serving.filter((endpoint) =>
    canServe(endpoint, stage)
  );
  const usable = serving.filter((endpoint) =>
    service.open.has(endpoint) && isAllowed(stage, endpoint)
  );
  return { serving, usable };
}

function askAdvice(pass: Pass, stage: Stage, endpoints: Endpoint[]): void {
  const rules = stage.job.spec.queue.advice;
  const { advice } = stage;
  if (!rules || advice.isAsking || pass.now < advice.retryAt) return;
  if (endpoints.length === 0) return;
  advice.isAsking = true;
  const named = endpoints.slice(0, MAX_ADVICE_ENDPOINTS);
  pass.state.output.orders.push({
    kind: OrderKind.AskAdvice,
    stage,
    endpoints: named.map(({ info }) => info.id),
    costMs: rules.decideMs + rules.perEndpointMs * named.length,
  });
}

/** Asks for endpoints not named yet, when those allowed have no room. */
function askFurther(pass: Pass, stage: Stage, candidates: Candidates): void {
  const unasked = candidates.serving.filter(({ info }) =>
    !stage.advice.asked.has(info.id)
  );
  askAdvice(pass, stage, unasked);
}

function planTasks(pass: Pass, stage: Stage, candidates: Candidates): void {
  let allowance = countBelowCap(pass.state, stage);
  if (allowance === 0) return;
  const rooms = new Map<Endpoint, number>();
  for (const endpoint of candidates.usable) {
    const room = countRoom(pass, endpoint, stage);
    if (room > 0) rooms.set(endpoint, room);
  }
  if (rooms.size === 0) return askFurther(pass, stage, candidates);
  let isTicketMissing = false;
  for (const task of stage.tasks) {
    if (allowance <= 0) break;
    if (task.phase !== TaskPhase.Waiting || pass.now < task.notBefore) continue;
    const open = [...rooms.keys()].filter((endpoint) =>
      hasTicket(pass, stage, endpoint)
    );
    if (open.length === 0) {
      isTicketMissing = rooms.size > 0;
      break;
    }
    const endpoint = chooseFullest(selectNearRack(open, stage), task);
    startTask(pass, stage, { task, endpoint, run: task.lastRun + 1 });
    allowance--;
    const left = (rooms.get(endpoint) ?? 0) - 1;
    if (left > 0) rooms.set(endpoint, left);
    else rooms.delete(endpoint);
  }
  if (isTicketMissing) askAdvice(pass, stage, [...rooms.keys()]);
}

/** Keeps to the rack where the data is, while it has room. */
function selectNearRack(endpoints: Endpoint[], stage: Stage): Endpoint[] {
  const { preferredRack } = getStep(stage);
  if (preferredRack === "") return endpoints;
  const near = endpoints.filter(({ info }) => info.rack === preferredRack);
  return near.length > 0 ? near : endpoints;
}

/** Packs small work tightly, so that whole endpoints stay free for gangs. */
function chooseFullest(endpoints: Endpoint[], task: Task): Endpoint {
  const others = endpoints.filter(({ info }) => info.id !== task.avoid);
  const open = others.length > 0 ? others : endpoints;
  return open.reduce((best, endpoint) =>
    measureFreeCores(endpoint) < measureFreeCores(best) ? endpoint : best
  );
}

function measureFreeCores(endpoint: Endpoint): number {
  return endpoint.info.capacity.milliCores - endpoint.used.milliCores;
}

/** Places a gang whole or not at all. */
function planGang(pass: Pass, stage: Stage, candidates: Candidates): void {
  if (!isGangWaiting(pass, stage)) return;
  if (countBelowCap(pass.state, stage) < stage.tasks.length) return;
  const avoided = new Set(stage.tasks.map((task) => task.avoid));
  const fresh = candidates.usable.filter(({ info, failuresInRow }) =>
    !avoided.has(info.id) && failuresInRow === 0
  );
  const groups = getStep(stage).rackLocal
    ? splitByRack(candidates.usable)
    : [fresh, candidates.usable];
  for (const group of groups) {
    const places = placeGang(pass, stage, group);
    if (!places) continue;
    const isTicketed = places.every((endpoint) =>
      hasTicket(pass, stage, endpoint)
    );
    if (isTicketed) return startGang(pass, stage, places);
    // The room is kept until the new tickets come.
    reservePlaces(pass, stage, places);
    return askAdvice(pass, stage, [...new Set(places)]);
  }
  askFurther(pass, stage, candidates);
  reserveForGang(pass, stage, candidates.usable);
}

function isGangWaiting(pass: Pass, stage: Stage): boolean {
  if (stage.tasks.some(({ phase }) => phase === TaskPhase.Unlocated)) {
    return false;
  }
  if (stage.tasks.some(({ run }) => run)) {
    // What a former owner started of it, or what is left of a broken one.
    stopGang(pass.state, stage, pass);
    return false;
  }
  return stage.tasks.every(({ notBefore }) => pass.now >= notBefore);
}

function placeGang(
  pass: Pass,
  stage: Stage,
  endpoints: Endpoint[],
): Endpoint[] | undefined {
  const rooms = endpoints
    .map((endpoint) => ({
      endpoint,
      room: countRoom(pass, endpoint, stage),
      isTicketed: hasTicket(pass, stage, endpoint),
    }))
    .filter(({ room }) => room > 0)
    .sort((a, b) =>
      Number(b.isTicketed) - Number(a.isTicketed) || b.room - a.room
    );
  const places: Endpoint[] = [];
  for (const { endpoint, room } of rooms) {
    for (let n = 0; n < room && places.length < stage.tasks.length; n++) {
      places.push(endpoint);
    }
  }
  return places.length === stage.tasks.length ? places : undefined;
}

function startGang(pass: Pass, stage: Stage, places: Endpoint[]): void {
  const run = Math.max(...stage.tasks.map((task) => task.lastRun)) + 1;
  for (const [index, task] of stage.tasks.entries()) {
    startTask(pass, stage, { task, endpoint: places[index], run });
  }
}

function reservePlaces(pass: Pass, stage: Stage, places: Endpoint[]): void {
  const { demand } = getStep(stage);
  for (const endpoint of places) reserveRoom(pass, endpoint, { demand });
}

/** Keeps later work off the endpoints that have most room for a gang. */
function reserveForGang(
  pass: Pass,
  stage: Stage,
  usable: Endpoint[],
): void {
  if (pass.reservedGangs >= MAX_RESERVATIONS) return;
  pass.reservedGangs++;
  const { demand } = getStep(stage);
  const byRoom = [...usable].sort((a, b) =>
    measureFreeCores(b) - measureFreeCores(a)
  );
  let missing = stage.tasks.length;
  for (const endpoint of byRoom) {
    if (missing <= 0) return;
    const most = Math.floor(
      endpoint.info.capacity.milliCores / Math.max(1, demand.milliCores),
    );
    const tasks = Math.min(missing, most);
    missing -= tasks;
    reserveRoom(pass, endpoint, { demand, tasks });
  }
}

function reserveRoom(
  pass: Pass,
  endpoint: Endpoint,
  options: { demand: Run["demand"]; tasks?: number },
): void {
  let reserved = pass.reservations.get(endpoint);
  if (!reserved) {
    reserved = makeNoDemand();
    pass.reservations.set(endpoint, reserved);
  }
  addDemand(reserved, options.demand, options.tasks ?? 1);
}

function startTask(
  pass: Pass,
  stage: Stage,
  options: { task: Task; endpoint: Endpoint; run: number },
): void {
  const { state, now } = pass;
  const { task, endpoint } = options;
  const run: Run = {
    task: task.name,
    number: options.run,
    endpoint,
    demand: getStep(stage).demand,
    organisation: stage.job.spec.organisation,
    phase: RunPhase.Starting,
    settledAt: now,
    startedAt: now,
    isStopAcknowledged: false,
    isStopUnderWay: false,
    percent: 0,
    progressAt: now,
  };
  addRun(state, run);
  addPlacement(state, run);
  noteLeaseSent(endpoint, { now, leaseMs: state.leaseMs });
  task.placedOn = endpoint.info.id;
  task.phase = TaskPhase.Placed;
  task.run = run;
  task.lastRun = options.run;
  removeWaiting(state, stage);
  const ticket = stage.advice.allowed.get(endpoint.info.id);
  state.output.orders.push({
    kind: OrderKind.Start,
    run,
    payload: stage.job.spec.payload,
    saved: task.saved,
    ticket: ticket?.ticket ?? "",
    ticketEndsAt: ticket?.expiresAt ?? Number.MAX_SAFE_INTEGER,
  });
  addDecision(state, {
    kind: DecisionKind.Started,
    subject: task.name,
    inputs: {
      run: run.number,
      endpoint: endpoint.info.id,
      freeMilliCores: measureFreeCores(endpoint),
    },
  });
}
