import { createHash } from "node:crypto";
import type { Random } from "../../../packages/base/mod.ts";
import type { Room } from "../room_history.ts";
import type { SeriesJob } from "./types.ts";

/** A queue of the series; advice in milliseconds, `good`: share of the endpoints. */
export interface SeriesQueue {
  name: string;
  priority: number;
  stretch: number;
  targetMs: number;
  /** Share of the jobs. */
  ratio: number;
  runMs: number;
  maxRunMs: number;
  tasks: number;
  maxTasks: number;
  maxSteps: number;
  milliCores: number;
  memoryMb: number;
  advice: { decideMs: number; eachMs: number; validMs: number; good: number };
}

/** The queues of the users' smallest site. */
export const SERIES_QUEUES: SeriesQueue[] = [
  {
    name: "reconcile",
    priority: 1,
    stretch: 2.2,
    targetMs: 1_000,
    ratio: 0.033,
    runMs: 4_000,
    maxRunMs: 10_000,
    tasks: 8,
    maxTasks: 24,
    maxSteps: 2,
    milliCores: 9_000,
    memoryMb: 19_000,
    advice: { decideMs: 410, eachMs: 5.9, validMs: 1_500, good: 0.25 },
  },
  {
    name: "batch",
    priority: 2,
    stretch: 4,
    targetMs: 3_000,
    ratio: 0.08,
    runMs: 3_400,
    maxRunMs: 8_400,
    tasks: 10,
    maxTasks: 30,
    maxSteps: 2,
    milliCores: 2_000,
    memoryMb: 5_600,
    advice: { decideMs: 82, eachMs: 1.2, validMs: 1_500, good: 0.45 },
  },
  {
    name: "check",
    priority: 0,
    stretch: 1.5,
    targetMs: 250,
    ratio: 0.887,
    runMs: 640,
    maxRunMs: 1_600,
    tasks: 2,
    maxTasks: 6,
    maxSteps: 1,
    milliCores: 2_800,
    memoryMb: 10_000,
    advice: { decideMs: 7.4, eachMs: 0.11, validMs: 1_500, good: 0.7 },
  },
];

/** Queue of a job: the first digit of its id. */
export function findQueue(id: string): SeriesQueue {
  return SERIES_QUEUES[Number(id[0])];
}

/** Draws a job; `number` makes its id. Its payload holds the durations of its steps. */
export function drawJob(random: Random, number: number): SeriesJob {
  const draw = random.drawFloat();
  let queue = 0;
  let sum = SERIES_QUEUES[0].ratio;
  while (draw >= sum && queue < SERIES_QUEUES.length - 1) {
    sum += SERIES_QUEUES[++queue].ratio;
  }
  const rules = SERIES_QUEUES[queue];
  const id = `${queue}${number.toString(16).padStart(15, "0")}`;
  const drawUpTo = (mean: number, most: number) =>
    Math.max(
      1,
      Math.min(most, Math.round(-mean * Math.log(1 - random.drawFloat()))),
    );
  const steps = Array.from(
    { length: 1 + random.drawInt(rules.maxSteps) },
    (_, step) => ({
      tasks: drawUpTo(rules.tasks, rules.maxTasks),
      milliCores: Math.round(
        rules.milliCores * (0.6 + 0.8 * random.drawFloat()),
      ),
      memoryMb: Math.round(rules.memoryMb * (0.6 + 0.8 * random.drawFloat())),
      after: step > 0 ? [step - 1] : [],
      runMs: Math.min(
        rules.maxRunMs,
        Math.round(rules.runMs * (0.5 + random.drawFloat())),
      ),
      longRunning: false,
    }),
  );
  const payload = JSON.stringify({
    id,
    runMs: steps.map(({ runMs }) => runMs),
  });
  return { id, queue, payload, steps };
}

/** Reads the duration of a task from its payload, in milliseconds. */
export function measureTask(task: string, payload: string): number {
  const { runMs } = JSON.parse(payload) as { runMs: number[] };
  return runMs[Number(task.split(".")[2])] ?? 0;
}

/** Returns whether the policy allows an endpoint to run a step (`ID.K.STEP`). */
export function isAllowed(step: string, endpoint: string): boolean {
  const digest = createHash("sha256").update(`${step}|${endpoint}`).digest();
  return digest.readUInt32BE() / 2 ** 32 < findQueue(step).advice.good;
}

/**
 * Measures how long a job takes if the policy allows one idle endpoint only, which takes
 * as many tasks at a time as fit into its room; in milliseconds.
 */
export function measureLongestWork({ steps }: SeriesJob, room: Room): number {
  const waves = (step: SeriesJob["steps"][number]) => {
    const slots = Math.min(
      Math.floor(room.milliCores / step.milliCores),
      Math.floor(room.memoryMb / step.memoryMb),
    );
    return Math.ceil(step.tasks / Math.max(1, slots));
  };
  return steps.reduce((sum, step) => sum + waves(step) * step.runMs, 0);
}
