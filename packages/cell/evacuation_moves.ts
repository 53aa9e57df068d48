import { chooseMove, MoveVerdict } from "../evacuation/mod.ts";
import { getCapacityDemand } from "../jobs/mod.ts";
import { askAboutUnaskedEndpoints } from "./ask_advice.ts";
import { canInterrupt, isServing } from "./colocation.ts";
import {
  formatRunKey,
  isEvacuated,
  listDomainRuns,
} from "./evacuated_domains.ts";
import { countFittingTasks } from "./placement.ts";
import { listUsable, type PlacementPass } from "./placement_pass.ts";
import { reserveCapacity } from "./plan_gang.ts";
import { describeShape } from "./run_shape.ts";
import { findTask, getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import { StopReason, stopRun } from "./stop_run.ts";
import {
  type Endpoint,
  type Run,
  RunPhase,
  type Stage,
  type Task,
  TaskPhase,
} from "./types.ts";

/** Quantile of the predicted remaining time by which a move is judged. */
const REST_QUANTILE = 0.5;

/** A run in an evacuated domain whose task goes on. */
interface Candidate {
  run: Run;
  stage: Stage;
  task: Task;
}

/**
 * Reserves room for the tasks that are being moved. Load: a backlog takes all room
 * within the time of a stop, and a service would lose a task until there is room again.
 */
export function reserveForMoves(pass: PlacementPass): void {
  const { state } = pass;
  if (state.evacuation.domains.size === 0) return;
  for (const { run, stage } of listCandidates(state)) {
    if (run.phase === RunPhase.Stopping) reserveElsewhere(pass, stage);
  }
}

/**
 * Stops the runs in evacuated domains that are moved now; their tasks are placed
 * elsewhere once they have stopped. Called after the plan of waiting work, which thus
 * takes its room first.
 */
export function planMoves(pass: PlacementPass): void {
  const { state, now } = pass;
  if (state.evacuation.domains.size === 0) return;
  const candidates = listCandidates(state);
  const formerRuns = state.evacuation.runs;
  state.evacuation.runs = new Map();
  /** Stages whose tasks have found no room elsewhere in this pass. */
  const stagesWithoutRoom = new Set<Stage>();
  for (const candidate of candidates) {
    const { run, stage, task } = candidate;
    const restMs = predictRest(state, candidate, { now });
    const key = formatRunKey(run);
    const former = formerRuns.get(key);
    const { checkpoint } = task;
    const verdict = chooseMove({
      isRunning: run.phase === RunPhase.Running,
      hasContact: hasContact(run.endpoint, now),
      isGang: getStep(stage).gang,
      isLongRunning: getStep(stage).longRunning,
      isCheckpointing: getStep(stage).checkpointing,
      // The first checkpoint that is seen may be old.
      hasNewCheckpoint: former !== undefined &&
        former.checkpoint !== checkpoint,
      restMs,
      areSiblingsServing: hasServingSiblings(stage, task),
      canInterrupt: canInterrupt(stage, task),
      hasRoomElsewhere: () => {
        if (stagesWithoutRoom.has(stage)) return false;
        if (reserveElsewhere(pass, stage)) return true;
        stagesWithoutRoom.add(stage);
        askAboutUnaskedEndpoints(pass, stage);
        return false;
      },
    });
    state.evacuation.runs.set(key, { checkpoint, verdict });
    if (verdict !== MoveVerdict.Move) continue;
    task.avoidEndpoint = run.endpoint.info.id;
    stopRun(state, run, {
      now,
      reason: StopReason.Evacuated,
      inputs: {
        domain: run.endpoint.info.domain,
        restMs: Math.round(restMs),
      },
    });
  }
}

/** Lists the runs in evacuated domains that are their tasks' current ones. */
function listCandidates(state: CellState): Candidate[] {
  const candidates: Candidate[] = [];
  for (const domain of state.evacuation.domains.keys()) {
    for (const run of listDomainRuns(state, domain)) {
      const taskRef = findTask(state, run.task);
      if (!taskRef || taskRef.task.run !== run) continue;
      if (taskRef.stage.job.outcome) continue;
      if (taskRef.task.phase !== TaskPhase.Placed) continue;
      candidates.push({ run, ...taskRef });
    }
  }
  return candidates;
}

/**
 * Predicts the remaining time of a run, in milliseconds. Progress counts as elapsed
 * time if it shows more: a run that continues from a checkpoint, or that this owner
 * adopted, has done more than its age shows.
 */
function predictRest(
  { runTimes }: CellState,
  { run, stage }: Candidate,
  { now }: { now: number },
): number {
  const shape = describeShape(stage);
  const speed = runTimes.getSpeed(run.endpoint.info.id, now);
  const options = { quantile: REST_QUANTILE, speed, now };
  const wholeMs = runTimes.predict(shape, options);
  const elapsedMs = Math.max(
    now - run.startedAt,
    wholeMs * run.percent / 100,
  );
  return runTimes.predictRest(shape, { ...options, elapsedMs });
}

function hasContact(endpoint: Endpoint, now: number): boolean {
  return endpoint.hasAcceptedFence && !endpoint.isReplaced &&
    endpoint.contact.lostAt === 0 && now >= endpoint.unresponsiveUntil;
}

function hasServingSiblings(stage: Stage, task: Task): boolean {
  return stage.tasks.every((sibling) => sibling === task || isServing(sibling));
}

/**
 * Reserves room for one task of a stage on an endpoint of another domain that advice
 * allows; returns whether there is any.
 */
function reserveElsewhere(pass: PlacementPass, stage: Stage): boolean {
  const service = pass.services.get(stage.job.spec.queue.service);
  if (!service) return false;
  const endpoint = listUsable(pass, service, stage).find((candidate) =>
    !isEvacuated(pass.state, candidate) &&
    countFittingTasks(pass, candidate, stage) > 0
  );
  if (!endpoint) return false;
  reserveCapacity(pass, endpoint, {
    demand: getCapacityDemand(getStep(stage)),
  });
  return true;
}
