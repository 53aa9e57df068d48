import { getCapacityDemand, type JobSpec, type StepSpec } from "../jobs/mod.ts";
import { isEvacuated } from "./evacuated_domains.ts";
import { RoomCurve, type RoomRelease } from "./room_curve.ts";
import {
  computeStageLevel,
  describeBacklog,
  estimateAdvice,
  listWaiting,
} from "./room_demand.ts";
import { RoomLevels } from "./room_levels.ts";
import { getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import type { Endpoint, Stage } from "./types.ts";

/** Endpoints of a service of equal room and labels. */
interface EndpointGroup {
  endpoint: Endpoint;
  count: number;
}

/** Room of one service as it becomes free, made at most once for each plan. */
export interface RoomForecast {
  madeAt: number;
  /** Room of the endpoints that take starts, in thousandths of a core. */
  milliCores: number;
  /** Room of all listed endpoints, contacted or not. */
  listedMilliCores: number;
  groups: EndpointGroup[];
  levels: RoomLevels;
  /** Lowest level of the late waiting work of each queue, by its name. */
  lateLevels: Map<string, number>;
  /** Duration of the advice calls that wait, in ms, by level. */
  adviceMs: Map<number, number>;
  /** Room within the quota of an organisation, by name; filled when needed. */
  quotas: Map<string, RoomLevels>;
  /** Thousandths of a core that waits for an organisation, by name. */
  waiting: Map<string, number>;
}

/** Makes the forecast of a service; `undefined` if none of its endpoints is listed. */
export function buildForecast(
  state: CellState,
  service: string,
  { now }: { now: number },
): RoomForecast | undefined {
  const releases: RoomRelease[] = [];
  const groups: EndpointGroup[] = [];
  let milliCores = 0;
  let listedMilliCores = 0;
  for (const endpoint of state.endpoints.values()) {
    const { info } = endpoint;
    if (info.service !== service || !endpoint.isListed) continue;
    if (info.isDraining || endpoint.isReplaced) continue;
    if (isEvacuated(state, endpoint)) continue;
    listedMilliCores += info.capacity.milliCores;
    if (!endpoint.hasAcceptedFence || endpoint.isCordoned) continue;
    milliCores += info.capacity.milliCores;
    addToGroup(groups, endpoint);
    addReleases(state, endpoint, { releases, now });
  }
  if (listedMilliCores === 0) return undefined;
  const forecast: RoomForecast = {
    madeAt: now,
    milliCores,
    listedMilliCores,
    groups,
    levels: new RoomLevels(RoomCurve.build(releases)),
    lateLevels: new Map(),
    adviceMs: new Map(),
    quotas: new Map(),
    waiting: new Map(),
  };
  const waiting = listWaiting(state, { now }).filter(({ job }) =>
    job.spec.queue.service === service
  );
  for (const stage of waiting) {
    noteWaiting(forecast, stage.job.spec, {
      step: getStep(stage),
      tasks: stage.waitingTasks,
    });
    addAdviceTime(state, stage, { forecast, now });
    if (now > stage.dueAt && !getStep(stage).longRunning) {
      const { name } = stage.job.spec.queue;
      const level = computeStageLevel(state, stage, { now });
      const lowest = forecast.lateLevels.get(name) ?? level;
      forecast.lateLevels.set(name, Math.min(lowest, level));
    }
  }
  const backlog = describeBacklog(state, waiting, { forecast, now });
  forecast.levels.addBacklog(backlog);
  return forecast;
}

function addToGroup(groups: EndpointGroup[], endpoint: Endpoint): void {
  const group = groups.find((other) => isAlike(other.endpoint, endpoint));
  if (group) group.count++;
  else groups.push({ endpoint, count: 1 });
}

/** Returns whether two endpoints can hold the same tasks. */
function isAlike(a: Endpoint, b: Endpoint): boolean {
  return a.fullRoom.milliCores === b.fullRoom.milliCores &&
    a.fullRoom.memoryMb === b.fullRoom.memoryMb &&
    a.fullRoom.accelerators === b.fullRoom.accelerators &&
    a.info.labels.length === b.info.labels.length &&
    a.info.labels.every((label) => b.info.labels.includes(label));
}

/** Adds what becomes free on an endpoint: its unused room, then that of its runs. */
function addReleases(
  state: CellState,
  endpoint: Endpoint,
  { releases, now }: { releases: RoomRelease[]; now: number },
): void {
  const { info, used, runs } = endpoint;
  const pausedUntil = Math.max(
    endpoint.pausedUntil,
    endpoint.unresponsiveUntil,
    endpoint.ejectedUntil,
  );
  const pausedMs = Math.max(0, pausedUntil - now);
  const unused = Math.max(0, info.capacity.milliCores - used.milliCores);
  if (unused > 0) releases.push({ afterMs: pausedMs, milliCores: unused });
  // Runs may take more than the room, which may shrink: no more becomes free.
  let unreleased = info.capacity.milliCores - unused;
  for (const run of runs.values()) {
    const milliCores = Math.min(unreleased, run.demand.milliCores);
    if (milliCores <= 0) continue;
    unreleased -= milliCores;
    const restMs = state.admission.ends.predictRest(state, run, { now });
    releases.push({ afterMs: Math.max(pausedMs, restMs), milliCores });
  }
}

function addAdviceTime(
  state: CellState,
  stage: Stage,
  { forecast, now }: { forecast: RoomForecast; now: number },
): void {
  const { advice, job } = stage;
  const hasAnswer = advice.askedEndpoints.size > 0 || advice.callsInFlight > 0;
  if (!job.spec.queue.advice || hasAnswer) return;
  const level = computeStageLevel(state, stage, { now });
  const adviceMs = estimateAdvice(state, job.spec, getStep(stage));
  addToLevel(forecast.adviceMs, level, { amount: adviceMs });
}

/** Adds to the amount of a level. */
export function addToLevel<Key>(
  amounts: Map<Key, number>,
  level: Key,
  { amount }: { amount: number },
): void {
  amounts.set(level, (amounts.get(level) ?? 0) + amount);
}

/** Adds tasks of a step to what waits for their organisation. */
export function noteWaiting(
  { waiting }: RoomForecast,
  { organisation }: JobSpec,
  { step, tasks }: { step: StepSpec; tasks: number },
): void {
  addToLevel(waiting, organisation, {
    amount: tasks * computeLargestDemand(step),
  });
}

/**
 * Returns the room within an organisation's quota; `undefined` if it has none, or if all
 * that runs and waits fits into it beside the job. Load: many submissions of many
 * organisations, most of which are far from their quota.
 */
export function getQuotaLevels(
  state: CellState,
  { organisation, steps }: JobSpec,
  { forecast, now }: { forecast: RoomForecast; now: number },
): RoomLevels | undefined {
  const limit = state.organisations?.get(organisation)?.cap.milliCores ?? 0;
  if (limit === 0) return undefined;
  const known = forecast.quotas.get(organisation);
  if (known) return known;
  const used = state.usage.get(organisation)?.milliCores ?? 0;
  const waitingMilliCores = forecast.waiting.get(organisation) ?? 0;
  const ownMilliCores = steps.reduce(
    (sum, step) => sum + step.tasks * computeLargestDemand(step),
    0,
  );
  if (used + waitingMilliCores + ownMilliCores <= limit) return undefined;
  const releases = [{ afterMs: 0, milliCores: limit - used }];
  let unlisted = used;
  for (const run of state.running.listRuns(organisation)) {
    const afterMs = state.admission.ends.predictRest(state, run, { now });
    releases.push({ afterMs, milliCores: run.charge.milliCores });
    unlisted -= run.charge.milliCores;
  }
  // The rest is what runs of former owners may still use.
  const afterMs = Math.max(0, state.unlocatedUntil - now);
  releases.push({ afterMs, milliCores: unlisted });
  const levels = new RoomLevels(RoomCurve.build(releases));
  const waiting = listWaiting(state, { now }).filter(({ job }) =>
    job.spec.organisation === organisation
  );
  const backlog = describeBacklog(state, waiting, { forecast, now });
  levels.addBacklog(backlog.map(({ level, tasks }) => ({
    level,
    tasks: { ...tasks, share: 1 },
  })));
  forecast.quotas.set(organisation, levels);
  return levels;
}

/** Computes what a task takes of an endpoint or of a quota, whichever is more. */
function computeLargestDemand(step: StepSpec): number {
  return Math.max(step.demand.milliCores, getCapacityDemand(step).milliCores);
}
