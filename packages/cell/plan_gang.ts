import { addDemand, getRoomDemand, makeNoDemand } from "../jobs/mod.ts";
import { askAdvice, askFurther } from "./ask_advice.ts";
import { MAX_RESERVATIONS } from "./constants.ts";
import { stopGang } from "./ends.ts";
import {
  countBelowCap,
  countRoom,
  hasTicket,
  splitByRack,
} from "./placement.ts";
import {
  type Candidates,
  measureFreeCores,
  type Pass,
} from "./placement_pass.ts";
import { getStep } from "./stages.ts";
import { startTask } from "./start_task.ts";
import { type Endpoint, type Run, type Stage, TaskPhase } from "./types.ts";

/** Places a gang whole or not at all. */
export function planGang(
  pass: Pass,
  stage: Stage,
  candidates: Candidates,
): void {
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
  const demand = getRoomDemand(getStep(stage));
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
  const demand = getRoomDemand(getStep(stage));
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
