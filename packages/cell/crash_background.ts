import { CRASH_HISTORY_MS, SHORT_WINDOW_MS } from "./constants.ts";
import {
  type CrashBackground,
  estimateProbability,
  isStrongSuspect,
} from "./crash_evidence.ts";
import type { Crash } from "./crash_types.ts";
import {
  hasFailed,
  isCleared,
  LostEndpoints,
  measureWidth,
  sumLosses,
  type WeighedLoss,
} from "./lost_together.ts";
import { findTask, getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import type { SuspectRun } from "./suspects.ts";

const NO_CRASHES = { counted: [], clearedRun: 0 };

/** Evidence about one crash that is the same for all its suspects. */
export interface CrashEvidence {
  ratePerMs: number;
  widthMs: number;
  /** Number of the service's listed endpoints. */
  listed: number;
  losses: WeighedLoss[];
}

/** What is the same for all crashes that are judged at one time. */
export interface Moment {
  /** Recent crashes that no task caused. */
  background: ReadonlySet<Crash>;
  lost: LostEndpoints;
}

/** Observes what the crashes that are judged now are compared with. */
export function observeMoment(state: CellState): Moment {
  return {
    background: listBackground(state),
    lost: new LostEndpoints(state),
  };
}

/**
 * Lists the recent crashes that no task caused: no suspect of them is likely to be the
 * cause. The others are left out: bad tasks must not excuse themselves.
 */
function listBackground(state: CellState): Set<Crash> {
  return new Set(
    state.recentCrashes.filter(({ suspects }) =>
      suspects.every(({ task: name, run }) => {
        if (hasFailed(state, name)) return false;
        const task = findTask(state, name)?.task;
        return !task || isCleared(task, run) || !isStrongSuspect(task.crashes);
      })
    ),
  );
}

/** Collects the evidence about a crash as it is known now, and notes its share. */
export function collectEvidence(
  state: CellState,
  { crash, moment, now }: { crash: Crash; moment: Moment; now: number },
): CrashEvidence {
  const listed = Math.max(1, countListed(state, crash.service));
  const losses = moment.lost.listTogether(crash);
  crash.eventShare = 1 / (1 + sumLosses(losses));
  const others = [...moment.background].filter((other) =>
    other !== crash && other.service === crash.service
  );
  return {
    ratePerMs: measureRate(others, {
      endpoints: countInContact(state, crash.service),
      now,
    }),
    widthMs: measureWidth(crash),
    listed,
    losses,
  };
}

/** Describes what would have crashed the endpoint without one of its suspects. */
export function describeBackground(
  state: CellState,
  { crash, evidence, suspect }: {
    crash: Crash;
    evidence: CrashEvidence;
    suspect: SuspectRun;
  },
): CrashBackground {
  const { ratePerMs, widthMs, listed, losses } = evidence;
  const stage = findTask(state, suspect.task)?.stage;
  let otherSuspicion = 0;
  for (const [task, probability] of crash.suspicions) {
    if (task === suspect.task) continue;
    // The members of a gang start and fail as one.
    const isMember = stage && getStep(stage).gang &&
      findTask(state, task)?.stage === stage;
    if (!isMember) otherSuspicion += probability;
  }
  return {
    ratePerMs,
    widthMs,
    lostFraction: sumLosses(losses, stage) / Math.max(1, listed - 1),
    otherSuspicion,
  };
}

/**
 * Estimates the probability that each suspect crashes endpoints. The run of one that was
 * given up may still be carried out.
 */
export function estimateSuspicions(
  state: CellState,
  suspects: readonly SuspectRun[],
): Map<string, number> {
  return new Map(suspects.map(({ task }) => {
    if (hasFailed(state, task)) return [task, 1];
    const crashes = findTask(state, task)?.task.crashes;
    return [task, estimateProbability(crashes ?? NO_CRASHES)];
  }));
}

/**
 * Measures the rate of events that crash endpoints, per endpoint and millisecond: the
 * higher one of a short time, which follows a sudden series of restarts, and of a long
 * time, in which one event more than was seen may have been due.
 */
function measureRate(
  crashes: readonly Crash[],
  { endpoints, now }: { endpoints: number; now: number },
): number {
  const countWithin = (windowMs: number) =>
    crashes.filter(({ notedAt }) => now - notedAt < windowMs)
      .reduce((sum, { eventShare }) => sum + eventShare, 0);
  return Math.max(
    countWithin(SHORT_WINDOW_MS) / (endpoints * SHORT_WINDOW_MS),
    (countWithin(CRASH_HISTORY_MS) + 1) / (endpoints * CRASH_HISTORY_MS),
  );
}

/** Counts the endpoints that can crash now: among restarts, many are away. */
function countInContact(state: CellState, service: string): number {
  let inContact = 0;
  for (const { info, isListed, contact } of state.endpoints.values()) {
    if (isListed && info.service === service && contact.lostAt === 0) {
      inContact++;
    }
  }
  return Math.max(1, inContact);
}

function countListed(state: CellState, service: string): number {
  let listed = 0;
  for (const { info, isListed } of state.endpoints.values()) {
    if (isListed && info.service === service) listed++;
  }
  return listed;
}
