import {
  SAME_MOMENT_MS,
  WIDESPREAD_FRACTION,
  WIDESPREAD_MIN,
} from "./constants.ts";
import { findTask, getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import type { Stage } from "./types.ts";

/** The end of an endpoint's lifetime without notice. */
export interface Crash {
  endpoint: string;
  service: string;
  /** Start of the lifetime that ended. */
  bornAt: number;
  /** When contact was lost, or the last sign of life; steady clock, in ms. */
  lostAt: number;
  /** Pairs of task and run number that may have caused it. */
  suspects: [string, number][];
  /** Those of them that were sent right before the last sign of life. */
  lastStarted: [string, number][];
  /** Number of runs that were lost, suspects included. */
  runs: number;
  /** Another lifetime has been seen; an endpoint that is only missing may return. */
  isCertain: boolean;
  /** The endpoint is only missing from the list, and its lifetime may answer again. */
  isMissing: boolean;
}

/** What a crash says of its suspects. */
export interface CrashVerdict {
  /** It can be laid to a single task or to one gang. */
  isAttributable: boolean;
  /** So many endpoints were lost at the same moment that no task is the cause. */
  isWidespread: boolean;
}

/** Classifies a crash: whether its suspects are the cause. */
export function classifyCrash(state: CellState, crash: Crash): CrashVerdict {
  const { service } = crash;
  const othersLost = listLostTogether(state, crash).size;
  return {
    isAttributable: othersLost === 0 && canAttribute(state, crash),
    isWidespread: isWidespread(state, { service, othersLost }),
  };
}

/** Returns whether a crash can be laid to a single task or to one gang. */
function canAttribute(
  state: CellState,
  { suspects, isCertain, lastStarted }: Crash,
): boolean {
  const stages = listStages(state, suspects);
  const [stage] = stages;
  if (!isCertain || lastStarted.length === 0) return false;
  if (!stage || stages.size > 1) return false;
  return suspects.length === 1 || getStep(stage).gang;
}

/**
 * Lists the other endpoints of the service that were lost at the same moment, but
 * for those that ran the same step. Load: a rack or many endpoints crash at once.
 */
function listLostTogether(state: CellState, crash: Crash): Set<string> {
  const stages = listStages(state, crash.suspects);
  const isOfStages = (task: string) => {
    const stage = findTask(state, task)?.stage;
    return stage !== undefined && stages.has(stage);
  };
  const isSameMoment = (lostAt: number) =>
    Math.abs(lostAt - crash.lostAt) <= SAME_MOMENT_MS;
  const lost = new Set<string>();
  for (const other of state.recentCrashes) {
    if (other.service !== crash.service || !isSameMoment(other.lostAt)) {
      continue;
    }
    if (!other.suspects.some(([task]) => isOfStages(task))) {
      lost.add(other.endpoint);
    }
  }
  for (const { info, contact, runs } of state.endpoints.values()) {
    if (info.service !== crash.service || contact.lostAt === 0) continue;
    if (!isSameMoment(contact.lostAt)) continue;
    if (![...runs.keys()].some(isOfStages)) lost.add(info.id);
  }
  lost.delete(crash.endpoint);
  return lost;
}

function listStages(
  state: CellState,
  suspects: readonly [string, number][],
): Set<Stage> {
  const stages = new Set<Stage>();
  for (const [task] of suspects) {
    const taskRef = findTask(state, task);
    if (taskRef) stages.add(taskRef.stage);
  }
  return stages;
}

/** Returns whether so many endpoints were lost together that no task is the cause. */
function isWidespread(
  state: CellState,
  { service, othersLost }: { service: string; othersLost: number },
): boolean {
  if (othersLost < WIDESPREAD_MIN) return false;
  let listed = 0;
  for (const { info, isListed } of state.endpoints.values()) {
    if (isListed && info.service === service) listed++;
  }
  return othersLost >= listed * WIDESPREAD_FRACTION;
}
