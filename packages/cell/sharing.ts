import {
  CALM_PART,
  FILL_MOVE_MS,
  FULL_PACE,
  LEAST_PACE,
  PACE_SETTLE_MS,
  PACE_STEP,
  STRAINED_PART,
} from "./constants.ts";
import { canServe } from "./placement.ts";
import { measureFreeCores } from "./placement_pass.ts";
import { findTask, getStep } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import { stopRun } from "./stops.ts";
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

/** Percent at which a task that lasts is at work. */
const AT_WORK_PERCENT = 100;

/**
 * Holds the filling runs of an endpoint back while a serving run beside them
 * comes near its target. Answers the load "batch work fills what services
 * leave": pace is cut by half at each sign of strain, and given back in steps.
 */
export function planPaces(
  state: CellState,
  endpoint: Endpoint,
  { now }: { now: number },
): void {
  const filling = listRuns(state, endpoint, ({ isFilling }) => isFilling);
  const { throttle } = endpoint;
  const strain = measureStrain(state, endpoint);
  endpoint.isShared = filling.length > 0 && strain > 0;
  if (filling.length === 0) {
    throttle.percent = FULL_PACE;
    return;
  }
  const percent = computePace(throttle, { strain, now });
  if (percent !== throttle.percent) {
    addDecision(state, {
      kind: DecisionKind.Throttled,
      subject: endpoint.info.id,
      inputs: {
        wasPercent: throttle.percent,
        percent,
        runs: filling.length,
        strainPercent: Math.round(strain * 100),
      },
    });
    endpoint.throttle = { percent, changedAt: now };
  }
  for (const run of filling) sendPace(state, { run, percent });
  const isStuck = percent === 0 && endpoint.throttle.percent === 0 &&
    now - endpoint.throttle.changedAt >= FILL_MOVE_MS;
  if (isStuck) releaseYoungest(state, endpoint, { filling, now });
}

/**
 * Returns the pace that filling runs may have. `strain`: the worst tail of a
 * serving run as a part of its target.
 */
export function computePace(
  { percent, changedAt }: Throttle,
  { strain, now }: { strain: number; now: number },
): number {
  if (now - changedAt < PACE_SETTLE_MS) return percent;
  if (strain >= STRAINED_PART) {
    // Beyond the target there is no time left for small steps.
    const next = strain >= 1 ? percent / 4 : percent / 2;
    return next < LEAST_PACE ? 0 : Math.floor(next);
  }
  if (strain >= CALM_PART) return percent;
  return Math.min(FULL_PACE, percent + PACE_STEP);
}

/**
 * Tells whether a task that lasts may be taken away by an order: most steps
 * name how many of their tasks may be away at once.
 */
export function canBeAway(stage: Stage, task: Task): boolean {
  const { longRunning, maxAway } = getStep(stage);
  if (!longRunning || maxAway === 0) return true;
  const away = stage.tasks.filter((other) =>
    other !== task && !isAtWork(other)
  );
  return away.length < maxAway;
}

/** Tells whether the tasks of a stage disturb others, or are disturbed. */
export function isSharing(stage: Stage): boolean {
  const { isFilling, targetMs } = getStep(stage);
  return isFilling || targetMs > 0;
}

/** Chooses the endpoint where a filling and a serving run disturb least. */
export function chooseLeastDisturbed(
  endpoints: Endpoint[],
  options: { state: CellState; task: Task },
): Endpoint {
  const { state, task } = options;
  const others = endpoints.filter(({ info }) => info.id !== task.avoid);
  const open = others.length > 0 ? others : endpoints;
  const scores = open.map((endpoint) => ({
    endpoint,
    unused: measureUnused(state, endpoint),
  }));
  return scores.reduce((best, each) => each.unused > best.unused ? each : best)
    .endpoint;
}

function isAtWork({ run }: Task): boolean {
  return run?.phase === RunPhase.Running && run.percent >= AT_WORK_PERCENT;
}

/** Cores that neither reserved nor filling work uses; throttled: none. */
function measureUnused(state: CellState, endpoint: Endpoint): number {
  if (endpoint.throttle.percent < FULL_PACE) return Number.NEGATIVE_INFINITY;
  const sharing = listRuns(
    state,
    endpoint,
    ({ isFilling, targetMs }) => isFilling || targetMs > 0,
  );
  const shared = sharing.reduce((sum, run) => sum + run.charge.milliCores, 0);
  return measureFreeCores(endpoint) - shared;
}

function measureStrain(state: CellState, endpoint: Endpoint): number {
  let strain = 0;
  for (const run of endpoint.runs.values()) {
    const place = findTask(state, run.task);
    const targetMs = place ? getStep(place.stage).targetMs : 0;
    if (targetMs > 0) strain = Math.max(strain, run.gauge / targetMs);
  }
  return strain;
}

function listRuns(
  state: CellState,
  endpoint: Endpoint,
  isWanted: (step: ReturnType<typeof getStep>) => boolean,
): Run[] {
  return [...endpoint.runs.values()].filter((run) => {
    const place = findTask(state, run.task);
    return place !== undefined && run.phase !== RunPhase.Stopping &&
      isWanted(getStep(place.stage));
  });
}

function sendPace(
  state: CellState,
  { run, percent }: { run: Run; percent: number },
): void {
  const isListed = run.phase === RunPhase.Running;
  if (!isListed || run.isPaceUnderWay || run.pace === percent) return;
  run.isPaceUnderWay = true;
  state.output.orders.push({ kind: OrderKind.Pace, run, percent });
}

/** The youngest run has done least: it goes where it may work. */
function releaseYoungest(
  state: CellState,
  endpoint: Endpoint,
  { filling, now }: { filling: Run[]; now: number },
): void {
  const byAge = [...filling].sort((a, b) => b.startedAt - a.startedAt);
  for (const run of byAge) {
    const place = findTask(state, run.task);
    if (!place || place.task.run !== run) continue;
    const isRoomElsewhere = [...state.endpoints.values()].some((other) =>
      other !== endpoint && other.isHeld && !other.isClosing &&
      other.throttle.percent === FULL_PACE && canServe(other, place.stage)
    );
    if (!isRoomElsewhere || !canBeAway(place.stage, place.task)) continue;
    place.task.avoid = endpoint.info.id;
    stopRun(state, run, { now });
    endpoint.throttle.changedAt = now;
    return;
  }
}
