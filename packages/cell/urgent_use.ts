import { type Demand, getCapacityDemand } from "../jobs/mod.ts";
import { getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import type { Stage } from "./types.ts";
import { URGENT_PRIORITY } from "./urgency.ts";

/** Time for which the use of urgent work counts, in milliseconds. */
const WINDOW_MS = 10_000;

/** Length of one observation, in ms: much shorter than the shortest urgent tasks. */
const SAMPLE_MS = 100;

/** Fewest observations, so that one burst after a quiet time reserves nothing. */
const MIN_SAMPLES = 20;

/** Share of the observations that the reserved cores cover. */
const COVERED_SHARE = 0.95;

/** What urgent work asked for in one interval of `SAMPLE_MS`. */
interface UseSample {
  /** Count of the interval. */
  interval: number;
  /** Most cores at a time, running and waiting, in thousandths. */
  milliCores: number;
  /** Demand of the widest task; `undefined`: no task. */
  task: Demand | undefined;
}

/** Recent use of one service by urgent work. */
export interface UrgentUse {
  samples: UseSample[];
  /** Cores that urgent work uses now, in thousandths. */
  runningMilliCores: number;
  /** Cores that waiting urgent work asks for now, in thousandths. */
  askedMilliCores: number;
}

/** The demand of urgent work that is to be expected. */
export interface UrgentDemand {
  /** Cores that it rarely exceeds, in thousandths. */
  usualMilliCores: number;
  /** Cores that it uses now, in thousandths. */
  runningMilliCores: number;
  /** Demand of the widest recent task. */
  task: Demand;
}

/**
 * Observes the cores that urgent work of each service asks for now. Work that waits
 * counts too: in a full service, use alone would show the room and not the demand.
 */
export function observeUrgentUse(state: CellState, now: number): void {
  const { urgentUse } = state.placement;
  const interval = Math.floor(now / SAMPLE_MS);
  for (const use of urgentUse.values()) beginSample(use, interval);
  for (const job of state.jobs.values()) {
    const { priority, service } = job.spec.queue;
    if (priority !== URGENT_PRIORITY || job.outcome) continue;
    let use = urgentUse.get(service);
    if (!use) {
      urgentUse.set(service, use = makeUse());
      beginSample(use, interval);
    }
    for (const stage of job.stages) {
      if (!stage.isReady || stage.remaining === 0) continue;
      observeStage(use, stage);
      if (now <= stage.expiresAt) {
        use.askedMilliCores += stage.waitingTasks *
          getCapacityDemand(getStep(stage)).milliCores;
      }
    }
  }
  for (const [service, use] of urgentUse) {
    const sample = use.samples[use.samples.length - 1];
    const milliCores = use.runningMilliCores + use.askedMilliCores;
    sample.milliCores = Math.max(sample.milliCores, milliCores);
    const isForgotten = use.samples.every((each) => each.milliCores === 0);
    if (isForgotten) urgentUse.delete(service);
  }
}

function makeUse(): UrgentUse {
  return {
    samples: [],
    runningMilliCores: 0,
    askedMilliCores: 0,
  };
}

/** Drops what is too old, and begins a new sample if the last one's time is over. */
function beginSample(use: UrgentUse, interval: number): void {
  const { samples } = use;
  use.runningMilliCores = 0;
  use.askedMilliCores = 0;
  const oldest = interval - WINDOW_MS / SAMPLE_MS;
  while (samples.length > 0 && samples[0].interval <= oldest) samples.shift();
  if (samples.at(-1)?.interval === interval) return;
  samples.push({ interval, milliCores: 0, task: undefined });
}

function observeStage(use: UrgentUse, stage: Stage): void {
  const sample = use.samples[use.samples.length - 1];
  const demand = getCapacityDemand(getStep(stage));
  const running = stage.remaining - stage.waitingTasks;
  use.runningMilliCores += running * demand.milliCores;
  if (demand.milliCores > (sample.task?.milliCores ?? 0)) sample.task = demand;
}

/** Estimates the demand of urgent work in a service; `undefined`: none is expected. */
export function estimateUrgentDemand(
  state: CellState,
  service: string,
): UrgentDemand | undefined {
  const use = state.placement.urgentUse.get(service);
  if (!use || use.samples.length < MIN_SAMPLES) return undefined;
  const { samples, runningMilliCores } = use;
  let task: Demand | undefined;
  for (const sample of samples) {
    const isWider = sample.task &&
      sample.task.milliCores > (task?.milliCores ?? 0);
    if (isWider) task = sample.task;
  }
  const sorted = samples.map(({ milliCores }) => milliCores)
    .sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * COVERED_SHARE) - 1;
  const usualMilliCores = sorted[index];
  if (!task || usualMilliCores === 0) return undefined;
  return { usualMilliCores, runningMilliCores, task };
}
