import { getRoomDemand } from "../jobs/mod.ts";
import { askAdvice, askFurther } from "./ask_advice.ts";
import { countBelowCap, countRoom, hasTicket } from "./placement.ts";
import {
  beginPass,
  type Candidates,
  listCandidates,
  type Pass,
} from "./placement_pass.ts";
import { planGang } from "./plan_gang.ts";
import type { EndpointChoice } from "./policies.ts";
import { getStep } from "./stages.ts";
import { chooseLeastDisturbed, isSharing } from "./sharing.ts";
import { startTask } from "./start_task.ts";
import type { CellState } from "./state.ts";
import { type Endpoint, type Stage, type Task, TaskPhase } from "./types.ts";

/** Plans starts and calls for advice for all that waits. */
export function planStarts(state: CellState, now: number): void {
  const pass = beginPass(state, now);
  for (const stage of state.policies.order.sortStages(state.ready, now)) {
    if (stage.waiting === 0 || stage.job.outcome) continue;
    planStage(pass, stage);
  }
}

function planStage(pass: Pass, stage: Stage): void {
  const service = pass.services.get(stage.job.spec.queue.service);
  if (!service) return;
  const step = getStep(stage);
  const { gang } = step;
  const demand = getRoomDemand(step);
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
    const near = selectNearRack(open, stage);
    const endpoint = isSharing(stage)
      ? chooseLeastDisturbed(near, { state: pass.state, task })
      : chooseOther(near, { choice: pass.state.policies.choice, task });
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

/** The endpoint on which a task failed last is used only when it is alone. */
function chooseOther(
  endpoints: Endpoint[],
  options: { choice: EndpointChoice; task: Task },
): Endpoint {
  const { choice, task } = options;
  const others = endpoints.filter(({ info }) => info.id !== task.avoid);
  return choice.chooseEndpoint(others.length > 0 ? others : endpoints);
}
