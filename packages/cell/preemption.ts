import {
  addDemand,
  type Demand,
  getCapacityDemand,
  makeZeroDemand,
} from "../jobs/mod.ts";
import { predictRoomMs } from "./faster_endpoints.ts";
import { countFittingTasks, countWithinQuota } from "./placement.ts";
import { predictRunMs } from "./placement_memory.ts";
import { listUsable, type PlacementPass } from "./placement_pass.ts";
import { PreemptionName } from "./policies.ts";
import {
  type Candidate,
  findCandidate,
  isPreemptable,
  isPreempted,
  measureWastedMs,
} from "./preemption_candidates.ts";
import {
  canMeetDeadline,
  findSpeedTiers,
  getTier,
  MEDIAN,
} from "./speed_tiers.ts";
import { getStep } from "./stages.ts";
import { addDecision } from "./state.ts";
import { StopReason, stopRun } from "./stop_run.ts";
import { estimateStopMs, observeStops } from "./stop_times.ts";
import { DecisionKind, type Endpoint, type Stage, TaskPhase } from "./types.ts";
import { mayTry } from "./trials.ts";
import { isUrgent } from "./urgency.ts";

/** Largest share of a service's endpoints with a preemption at a time; at least one. */
const MAX_PREEMPTED_SHARE = 0.05;

/** Time for which freed room is kept for its task, in ms: covers a new ticket. */
const KEEP_MS = 1_000;

/** Room on an endpoint that is being freed for a task of an urgent stage. */
export interface Preemption {
  stage: Stage;
  endpoint: Endpoint;
  demand: Demand;
  at: number;
  /** The room is kept for the stage until then. */
  until: number;
}

/**
 * Forgets the preemptions that have served their purpose, and keeps the freed room of
 * the others from work that is not urgent.
 */
export function settlePreemptions(pass: PlacementPass): void {
  const { state, now, headroom } = pass;
  if (state.policies.names.preemption !== PreemptionName.Urgent) return;
  observeStops(state, now);
  const { placement } = state;
  placement.preemptions = placement.preemptions.filter((preemption) =>
    isPending(preemption, now)
  );
  for (const { endpoint, demand } of placement.preemptions) {
    const kept = headroom.reserved.get(endpoint) ?? makeZeroDemand();
    addDemand(kept, demand);
    headroom.reserved.set(endpoint, kept);
  }
}

function isPending(
  { stage, endpoint, at, until }: Preemption,
  now: number,
): boolean {
  if (now >= until || stage.waitingTasks === 0 || stage.job.outcome) {
    return false;
  }
  return !stage.tasks.some(({ run }) =>
    run?.endpoint === endpoint && run.startedAt > at
  );
}

/**
 * Stops runs of other work for the waiting tasks of an urgent stage. Load: a service
 * that is full of long runs when a short urgent task arrives. Only if the task has no
 * room where it is in time, none becomes free by itself as soon, it is still in time
 * after the stop, and the wasted work is worth less than the task.
 */
export function planPreemptions(pass: PlacementPass, stage: Stage): void {
  const { state } = pass;
  const { queue } = stage.job.spec;
  if (state.policies.names.preemption !== PreemptionName.Urgent) return;
  if (!isUrgent(stage) || stage.job.isOverShare || getStep(stage).gang) return;
  if (!stage.job.isCommitted || stage.advice.callsInFlight > 0) return;
  const service = pass.services.get(queue.service);
  if (!service || stage.waitingTasks === 0) return;
  const stopMs = estimateStopMs(state);
  const usable = listUsable(pass, service, stage);
  const isInTime = (endpoint: Endpoint, afterMs: number) =>
    canBeInTime(pass, stage, { endpoint, afterMs });
  const hasRoom = usable.some((endpoint) =>
    countFittingTasks(pass, endpoint, stage) > 0 && isInTime(endpoint, 0)
  );
  if (hasRoom) return;
  const wanted = countUnserved(pass, stage);
  const preemptable = usable.filter((endpoint) => isInTime(endpoint, stopMs));
  const allowance = Math.min(
    wanted -
      claimSoonFree(pass, stage, { endpoints: preemptable, stopMs, wanted }),
    countAllowed(pass, service.listed.length),
  );
  if (allowance <= 0) return;
  const candidates = preemptable
    .flatMap((endpoint) =>
      findCandidate(pass, stage, { endpoint, stopMs }) ?? []
    )
    .sort((a, b) => a.waste - b.waste);
  let preempted = 0;
  for (const candidate of candidates) {
    if (preempted >= allowance) return;
    // A stop for the candidate before may have used up a disruption budget.
    const isStillAllowed = candidate.victims.every(({ run }) =>
      isPreemptable(pass, { run, stopMs })
    );
    if (!isStillAllowed) continue;
    stopVictims(pass, stage, { candidate, stopMs });
    preempted++;
  }
}

/** Counts how many more endpoints of a service may have a preemption now. */
function countAllowed({ state }: PlacementPass, endpoints: number): number {
  const most = Math.max(1, Math.floor(endpoints * MAX_PREEMPTED_SHARE));
  return most - state.placement.preemptions.length;
}

/** Counts the tasks that could start now and for which no room is being freed. */
function countUnserved(pass: PlacementPass, stage: Stage): number {
  const { state, now, stoppingTasks } = pass;
  const startable =
    stage.tasks.filter((task) =>
      task.phase === TaskPhase.Waiting && now >= task.notBefore &&
      !stoppingTasks.has(task.name) && mayTry(pass, stage, [task])
    ).length;
  const served =
    state.placement.preemptions.filter((preemption) =>
      preemption.stage === stage
    ).length;
  return Math.min(startable, countWithinQuota(state, stage)) - served;
}

/** Claims endpoints whose own runs are predicted to end as soon as a stop would. */
function claimSoonFree(
  pass: PlacementPass,
  stage: Stage,
  options: { endpoints: Endpoint[]; stopMs: number; wanted: number },
): number {
  const { milliCores } = getCapacityDemand(getStep(stage));
  const { claimed } = pass.releases;
  let count = 0;
  for (const endpoint of options.endpoints) {
    if (count >= options.wanted) break;
    if (claimed.has(endpoint) || isPreempted(pass, endpoint)) continue;
    const speed = findSpeed(pass, endpoint);
    const waitMs = predictRoomMs(pass, endpoint, { milliCores, speed });
    if (waitMs > options.stopMs) continue;
    claimed.add(endpoint);
    count++;
  }
  return count;
}

function findSpeed(pass: PlacementPass, endpoint: Endpoint): number {
  const tiers = findSpeedTiers(pass, endpoint.info.service);
  return tiers ? tiers.speeds[getTier(tiers, endpoint)] : 1;
}

function canBeInTime(
  pass: PlacementPass,
  stage: Stage,
  { endpoint, afterMs }: { endpoint: Endpoint; afterMs: number },
): boolean {
  const { state, now } = pass;
  const usualMs = predictRunMs(state, stage, { quantile: MEDIAN, now });
  const runMs = afterMs + usualMs / findSpeed(pass, endpoint);
  return canMeetDeadline(stage, { runMs, now });
}

function stopVictims(
  pass: PlacementPass,
  stage: Stage,
  { candidate, stopMs }: { candidate: Candidate; stopMs: number },
): void {
  const { state, now } = pass;
  const { endpoint, victims } = candidate;
  state.placement.preemptions.push({
    stage,
    endpoint,
    demand: getCapacityDemand(getStep(stage)),
    at: now,
    until: now + stopMs + KEEP_MS,
  });
  for (const { run, waste } of victims) {
    addDecision(state, {
      kind: DecisionKind.Preempted,
      subject: run.task,
      inputs: {
        run: run.number,
        endpoint: endpoint.info.id,
        preemptedBy: stage.name,
        wastedMs: Math.round(measureWastedMs(pass, run)),
        wastedCoreMs: Math.round(waste / 1_000),
        stopMs: Math.round(stopMs),
        dueInMs: Math.round(stage.dueAt - now),
        hasCheckpoint: run.savedAt !== undefined,
      },
    });
    stopRun(state, run, {
      now,
      reason: StopReason.Preempted,
      inputs: { preemptedBy: stage.name },
    });
  }
}
