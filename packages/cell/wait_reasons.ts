import { fitsInto, getCapacityDemand } from "../jobs/mod.ts";
import {
  canAcceptStarts,
  countFittingTasks,
  countWithinQuota,
  hasTicket,
} from "./placement.ts";
import {
  beginPlacementPass,
  listEligible,
  listUsable,
  measureFreeCores,
  type PlacementPass,
} from "./placement_pass.ts";
import { getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import { mayTry } from "./trials.ts";
import { type Endpoint, type Stage, TaskPhase } from "./types.ts";

/** What keeps the tasks of a ready stage from starting. */
export enum WaitReason {
  /** No endpoint of the service could run the stage, not even an idle one. */
  NoEndpoint = "no_endpoint",
  /** Its acceptance is not committed, or no rules of organisations are known. */
  NotCommitted = "not_committed",
  Quota = "quota",
  /** All its tasks back off after a failure, or a run of them is being stopped. */
  Backoff = "backoff",
  /** Its tasks are suspected of crashes and wait for a trial. */
  Trial = "trial",
  /** A call for advice or tickets is in flight. */
  AdviceInFlight = "advice_in_flight",
  /** No entry can make the call that it needs, or the last one failed. */
  AdviceQueue = "advice_queue",
  /** The allowed endpoints could run it, but accept no starts now. */
  Unusable = "unusable",
  /** The allowed endpoints are full. */
  Full = "full",
  /** They have room, which is reserved for other work. */
  Reserved = "reserved",
  /** A gang does not fit as a whole. */
  Gang = "gang",
  /** Nothing of the above: it starts with the next plan, or waits for a faster endpoint. */
  NextPlan = "next_plan",
}

/** What waits in a cell beside the room that starts could use. */
export interface WaitReport {
  /** Number of stages that nothing has started of for `MIN_WAIT_MS`. */
  waiting: number;
  /** Some of them, at most `MAX_EXPLAINED`, by reason. */
  stages: Partial<Record<WaitReason, number>>;
  /** Longest of these waits, in milliseconds. */
  longestMs: number;
  /** Free cores of the endpoints that accept starts, in thousandths. */
  usableMilliCores: number;
}

/** Wait from which its reason is reported, in milliseconds. */
export const MIN_WAIT_MS = 1_000;

/**
 * Maximum number of stages that one look explains: an owner that is late has hundreds of
 * them, and no time to spare.
 */
export const MAX_EXPLAINED = 30;

/** Follows how long ready stages wait; the time between two looks is its precision. */
export class WaitMonitor {
  /** Since when each stage waits, and for how many tasks, in the last look. */
  #waits = new Map<Stage, { since: number; tasks: number }>();

  /** Looks at the ready stages: one that has started a task waits anew. */
  observe(state: CellState, now: number): WaitReport {
    const pass = beginPlacementPass(state, now);
    const waiting: Stage[] = [];
    const waits = new Map<Stage, { since: number; tasks: number }>();
    let longestMs = 0;
    for (const stage of state.ready) {
      const known = this.#waits.get(stage);
      const isSame = known !== undefined && stage.waitingTasks >= known.tasks;
      const since = isSame ? known.since : now;
      waits.set(stage, { since, tasks: stage.waitingTasks });
      if (now - since < MIN_WAIT_MS) continue;
      longestMs = Math.max(longestMs, now - since);
      waiting.push(stage);
    }
    this.#waits = waits;
    return {
      waiting: waiting.length,
      stages: countReasons(pass, waiting),
      longestMs: Math.round(longestMs),
      usableMilliCores: sumUsableCores(pass),
    };
  }
}

/** Counts the reasons of some of the stages, taken evenly from all. */
function countReasons(
  pass: PlacementPass,
  waiting: readonly Stage[],
): WaitReport["stages"] {
  const stages: WaitReport["stages"] = {};
  const count = Math.min(waiting.length, MAX_EXPLAINED);
  for (let n = 0; n < count; n++) {
    const stage = waiting[Math.floor(n * waiting.length / count)];
    const reason = explainWait(pass, stage);
    stages[reason] = (stages[reason] ?? 0) + 1;
  }
  return stages;
}

/** Explains why nothing of a ready stage starts now. */
export function explainWait(pass: PlacementPass, stage: Stage): WaitReason {
  const { state, now } = pass;
  const { advice } = stage;
  const service = pass.services.get(stage.job.spec.queue.service);
  const eligible = service ? listEligible(service, stage) : [];
  if (!service || eligible.length === 0) return WaitReason.NoEndpoint;
  if (!stage.job.isCommitted || !state.organisations) {
    return WaitReason.NotCommitted;
  }
  if (countWithinQuota(state, stage) === 0) return WaitReason.Quota;
  const due = stage.tasks.filter(({ phase, notBefore, name }) =>
    phase === TaskPhase.Waiting && now >= notBefore &&
    !pass.stoppingTasks.has(name)
  );
  if (due.length === 0) return WaitReason.Backoff;
  if (!due.some((task) => mayTry(pass, stage, [task]))) return WaitReason.Trial;
  const asking = advice.callsInFlight > 0
    ? WaitReason.AdviceInFlight
    : WaitReason.AdviceQueue;
  const hasAdvice = stage.job.spec.queue.advice !== undefined;
  if (hasAdvice && advice.askedEndpoints.size === 0) return asking;
  const usable = listUsable(pass, service, stage);
  if (usable.length === 0) {
    const allowed = eligible.filter(({ info }) =>
      !hasAdvice || advice.allowedEndpoints.has(info.id)
    );
    return allowed.length > 0 ? WaitReason.Unusable : asking;
  }
  const fitting = usable.filter((endpoint) =>
    countFittingTasks(pass, endpoint, stage) > 0
  );
  if (fitting.length === 0) {
    return usable.some((endpoint) => hasRoom(endpoint, stage))
      ? WaitReason.Reserved
      : WaitReason.Full;
  }
  if (getStep(stage).gang) return WaitReason.Gang;
  return fitting.some((endpoint) => hasTicket(pass, stage, endpoint))
    ? WaitReason.NextPlan
    : asking;
}

function hasRoom({ info, used }: Endpoint, stage: Stage): boolean {
  return fitsInto(getCapacityDemand(getStep(stage)), info.capacity, used);
}

function sumUsableCores({ state, now }: PlacementPass): number {
  let sum = 0;
  for (const endpoint of state.endpoints.values()) {
    const { isListed, isReplaced, info } = endpoint;
    const isUsable = isListed && !isReplaced && !info.isDraining &&
      canAcceptStarts(endpoint, now);
    if (isUsable) sum += Math.max(0, measureFreeCores(endpoint));
  }
  return sum;
}
