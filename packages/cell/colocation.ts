import {
  BEST_EFFORT_MOVE_MS,
  FULL_PACE,
  MIN_PACE,
  PACE_SETTLE_MS,
  PACE_STEP,
  RECOVERY_RATIO,
  THROTTLE_RATIO,
} from "./constants.ts";
import { isEvacuated } from "./evacuated_domains.ts";
import { isEligible } from "./placement.ts";
import { measureFreeCores } from "./placement_pass.ts";
import { findTask, getStep } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import { StopReason, stopRun } from "./stop_run.ts";
import {
  DecisionKind,
  type Endpoint,
  OrderKind,
  type Run,
  RunPhase,
  type Stage,
  type Task,
  type Throttle,
} from "./types.ts";

/** Progress at which a long-running task has started up, in percent. */
const SERVING_PERCENT = 100;

/**
 * Throttles the best-effort runs of an endpoint while the tail latency of a
 * serving run beside them is close to its target. Each adjustment cuts the pace
 * to a half or a quarter, or pauses the runs once the pace would be too low, or
 * raises the pace by a fixed step. Best-effort runs that stay paused for too
 * long are moved to another endpoint, one at a time.
 */
export function planPaces(
  state: CellState,
  endpoint: Endpoint,
  { now }: { now: number },
): void {
  const bestEffortRuns = listRuns(
    state,
    endpoint,
    ({ isFilling }) => isFilling,
  );
  const { throttle } = endpoint;
  const latencyRatio = measureLatencyRatio(state, endpoint);
  endpoint.isColocated = bestEffortRuns.length > 0 && latencyRatio > 0;
  if (bestEffortRuns.length === 0) {
    throttle.percent = FULL_PACE;
    return;
  }
  const percent = computePace(throttle, { latencyRatio, now });
  if (percent !== throttle.percent) {
    addDecision(state, {
      kind: DecisionKind.Throttled,
      subject: endpoint.info.id,
      inputs: {
        wasPercent: throttle.percent,
        percent,
        runs: bestEffortRuns.length,
        strainPercent: Math.round(latencyRatio * 100),
      },
    });
    endpoint.throttle = { percent, changedAt: now };
  }
  for (const run of bestEffortRuns) sendPace(state, { run, percent });
  const isPausedTooLong = percent === 0 && endpoint.throttle.percent === 0 &&
    now - endpoint.throttle.changedAt >= BEST_EFFORT_MOVE_MS;
  if (isPausedTooLong) stopYoungest(state, endpoint, { bestEffortRuns, now });
}

/**
 * Computes the next pace of best-effort runs, in percent. `latencyRatio`: tail
 * latency divided by its target, of the serving run where it is highest.
 */
export function computePace(
  { percent, changedAt }: Throttle,
  { latencyRatio, now }: { latencyRatio: number; now: number },
): number {
  if (now - changedAt < PACE_SETTLE_MS) return percent;
  if (latencyRatio >= THROTTLE_RATIO) {
    // Above the target, halving the pace would lower the tail latency too
    // slowly.
    const lowered = latencyRatio >= 1 ? percent / 4 : percent / 2;
    return lowered < MIN_PACE ? 0 : Math.floor(lowered);
  }
  if (latencyRatio >= RECOVERY_RATIO) return percent;
  return Math.min(FULL_PACE, percent + PACE_STEP);
}

/**
 * Returns whether the scheduler may stop a task without exceeding the
 * disruption budget of its step, `maxAway`.
 */
export function canInterrupt(stage: Stage, task: Task): boolean {
  const { longRunning, maxAway } = getStep(stage);
  if (!longRunning || maxAway === 0) return true;
  const interrupted = stage.tasks.filter((sibling) =>
    sibling !== task && !isServing(sibling)
  );
  return interrupted.length < maxAway;
}

/**
 * Returns whether tasks of a stage are sensitive to co-location: best-effort
 * tasks, which slow serving tasks down, and serving tasks with a latency
 * target.
 */
export function isColocationSensitive(stage: Stage): boolean {
  const { isFilling, targetMs } = getStep(stage);
  return isFilling || targetMs > 0;
}

/**
 * Chooses the endpoint where best-effort and serving runs interfere least: the
 * one with the most idle cores. Avoids the endpoint on which the task failed
 * last, if there is another.
 */
export function chooseLeastInterference(
  endpoints: Endpoint[],
  options: { state: CellState; task: Task },
): Endpoint {
  const { state, task } = options;
  const otherEndpoints = endpoints.filter(({ info }) =>
    info.id !== task.avoidEndpoint
  );
  const candidates = otherEndpoints.length > 0 ? otherEndpoints : endpoints;
  const scores = candidates.map((endpoint) => ({
    endpoint,
    idle: measureIdleCores(state, endpoint),
  }));
  return scores.reduce((best, score) => score.idle > best.idle ? score : best)
    .endpoint;
}

/**
 * Returns whether a long-running task runs, has started up, and its endpoint answers. One
 * that does not may hold a lease for long, but nobody knows whether the task works.
 */
export function isServing({ run }: Task): boolean {
  return run?.phase === RunPhase.Running && run.percent >= SERVING_PERCENT &&
    run.endpoint.contact.lostAt === 0;
}

/**
 * Estimates the idle cores in thousandths: the unreserved ones minus the cores
 * that best-effort and serving runs demand. Minus infinity for an endpoint
 * whose best-effort runs are throttled.
 */
function measureIdleCores(state: CellState, endpoint: Endpoint): number {
  if (endpoint.throttle.percent < FULL_PACE) return Number.NEGATIVE_INFINITY;
  const colocated = listRuns(
    state,
    endpoint,
    ({ isFilling, targetMs }) => isFilling || targetMs > 0,
  );
  const colocatedMilliCores = colocated.reduce(
    (sum, run) => sum + run.charge.milliCores,
    0,
  );
  return measureFreeCores(endpoint) - colocatedMilliCores;
}

/**
 * Returns the highest ratio of a run's tail latency to its target; 0 if no run
 * on the endpoint has a target.
 */
function measureLatencyRatio(state: CellState, endpoint: Endpoint): number {
  let highestRatio = 0;
  for (const run of endpoint.runs.values()) {
    const taskRef = findTask(state, run.task);
    const targetMs = taskRef ? getStep(taskRef.stage).targetMs : 0;
    if (targetMs > 0) {
      highestRatio = Math.max(highestRatio, run.gauge / targetMs);
    }
  }
  return highestRatio;
}

/** Lists the runs on an endpoint, except stopping ones, whose step matches. */
function listRuns(
  state: CellState,
  endpoint: Endpoint,
  matchesStep: (step: ReturnType<typeof getStep>) => boolean,
): Run[] {
  return [...endpoint.runs.values()].filter((run) => {
    const taskRef = findTask(state, run.task);
    return taskRef !== undefined && run.phase !== RunPhase.Stopping &&
      matchesStep(getStep(taskRef.stage));
  });
}

function sendPace(
  state: CellState,
  { run, percent }: { run: Run; percent: number },
): void {
  const isListed = run.phase === RunPhase.Running;
  if (!isListed || run.isPaceOrderInFlight || run.pace === percent) return;
  run.isPaceOrderInFlight = true;
  state.output.orders.push({ kind: OrderKind.Pace, run, percent });
}

/**
 * Stops the youngest best-effort run, which loses the least work, if another
 * endpoint can run it.
 */
function stopYoungest(
  state: CellState,
  endpoint: Endpoint,
  { bestEffortRuns, now }: { bestEffortRuns: Run[]; now: number },
): void {
  const youngestFirst = [...bestEffortRuns].sort((a, b) =>
    b.startedAt - a.startedAt
  );
  for (const run of youngestFirst) {
    const taskRef = findTask(state, run.task);
    if (!taskRef || taskRef.task.run !== run) continue;
    const canRunElsewhere = [...state.endpoints.values()].some((target) =>
      target !== endpoint && target.hasAcceptedFence && !target.isCordoned &&
      !isEvacuated(state, target) &&
      target.throttle.percent === FULL_PACE && isEligible(target, taskRef.stage)
    );
    if (!canRunElsewhere || !canInterrupt(taskRef.stage, taskRef.task)) {
      continue;
    }
    taskRef.task.avoidEndpoint = endpoint.info.id;
    stopRun(state, run, {
      now,
      reason: StopReason.Paused,
      inputs: { pausedMs: Math.round(now - endpoint.throttle.changedAt) },
    });
    // The next run is moved only if the endpoint stays paused as long again.
    endpoint.throttle.changedAt = now;
    return;
  }
}
