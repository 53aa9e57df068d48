import { splitRuns } from "../journal/mod.ts";
import { applyCrash, endProvenCause, makeRecord } from "./blame.ts";
import {
  CRASH_HISTORY_MS,
  CRASH_REVISION_MS,
  CRASH_SETTLE_MS,
  JUDGE_INTERVAL_MS,
  LIKELY_CAUSE_PROBABILITY,
  MIN_CHANCE_GROWTH,
  NEGLIGIBLE_CHANCE,
  TRIAL_PROBABILITY,
} from "./constants.ts";
import {
  collectEvidence,
  type CrashEvidence,
  describeBackground,
  observeMoment,
} from "./crash_background.ts";
import { describeStored } from "./crash_history.ts";
import {
  estimateChance,
  estimateProbability,
  isStrongSuspect,
} from "./crash_evidence.ts";
import { type Crash, CrashPhase } from "./crash_types.ts";
import { isCleared } from "./lost_together.ts";
import { findTask } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import type { SuspectRun } from "./suspects.ts";
import type { CurrentTime } from "./task_ends.ts";
import { lowerTrialLimit } from "./trial_limits.ts";
import { type CountedCrash, DecisionKind } from "./types.ts";

/** What a crash says of one suspect. */
interface Verdict extends SuspectRun {
  chance: number;
}

/**
 * Judges the recent crashes by the evidence so far, and settles those whose evidence is
 * complete. New ones are judged at once, before anything is started. Load: owners hear of
 * endpoints that are lost together one after the other, so that a verdict at the first
 * news would depend on their order.
 */
export function settleCrashes(state: CellState, time: CurrentTime): void {
  const { now } = time;
  if (now - state.crashesJudgedAt < JUDGE_INTERVAL_MS) {
    const isNew = state.recentCrashes.at(-1)?.phase === CrashPhase.Noted;
    if (!isNew) return;
    const noted = state.recentCrashes.filter(({ phase }) =>
      phase === CrashPhase.Noted
    );
    return checkCrashes(state, { crashes: noted, time });
  }
  state.crashesJudgedAt = now;
  state.recentCrashes = state.recentCrashes.filter(({ notedAt }) =>
    now - notedAt < CRASH_HISTORY_MS
  );
  checkCrashes(state, { crashes: state.recentCrashes, time });
}

function checkCrashes(
  state: CellState,
  { crashes, time }: { crashes: readonly Crash[]; time: CurrentTime },
): void {
  const { now } = time;
  const moment = observeMoment(state);
  for (const crash of crashes) {
    const suspects = listOpenSuspects(state, { crash, now });
    const isSettled = crash.phase === CrashPhase.Settled;
    if (!suspects || isSettled && suspects.length === 0) continue;
    const evidence = collectEvidence(state, { crash, moment, now });
    const verdicts = suspects.map((suspect) => ({
      ...suspect,
      chance: estimateChance(
        describeBackground(state, { crash, evidence, suspect }),
        suspect,
      ),
    }));
    if (isSettled) lowerBlame(state, crash, { verdicts, time });
    else if (now - crash.notedAt < CRASH_SETTLE_MS) {
      noteVerdicts(state, crash, { verdicts, time });
    } else settleCrash(state, crash, { verdicts, evidence, time });
  }
}

/**
 * Lists the suspects whose tasks still need a run and were not cleared; of a settled
 * crash only strong ones, from which blame may be taken back. `undefined`: the crash is
 * not judged any more.
 */
function listOpenSuspects(
  state: CellState,
  { crash, now }: { crash: Crash; now: number },
): SuspectRun[] | undefined {
  const { suspects, phase, notedAt } = crash;
  if (phase === CrashPhase.Restored) return undefined;
  const isSettled = phase === CrashPhase.Settled;
  if (isSettled && now - notedAt >= CRASH_REVISION_MS) return undefined;
  return suspects.filter(({ task: name, run }) => {
    const taskRef = findTask(state, name);
    if (!taskRef || taskRef.stage.job.outcome) return false;
    const { task } = taskRef;
    if (isCleared(task, run)) return false;
    return !isSettled || isStrongSuspect(task.crashes);
  });
}

/** Applies what is known so far. */
function noteVerdicts(
  state: CellState,
  crash: Crash,
  { verdicts, time }: { verdicts: readonly Verdict[]; time: CurrentTime },
): void {
  if (crash.phase === CrashPhase.Noted) {
    crash.phase = CrashPhase.Recorded;
    const telling = verdicts.filter(isTelling);
    const parts = telling.length === 0 ? [[]] : splitRuns(telling);
    recordCrash(state, crash, parts);
  }
  for (const verdict of verdicts) applyVerdict(state, crash, { verdict, time });
}

/** Records a crash with what it says of each suspect, and gives up what is proven. */
function settleCrash(
  state: CellState,
  crash: Crash,
  { verdicts, evidence, time }: {
    verdicts: readonly Verdict[];
    evidence: CrashEvidence;
    time: CurrentTime;
  },
): void {
  const recorded = verdicts.filter((verdict) =>
    isTelling(verdict) || findCounted(state, crash, verdict)
  );
  crash.phase = CrashPhase.Settled;
  addDecision(state, {
    kind: DecisionKind.CrashJudged,
    subject: crash.endpoint,
    inputs: {
      bornAt: crash.bornAt,
      ratePerS: Number((evidence.ratePerMs * 1_000).toPrecision(3)),
      widthMs: Math.round(evidence.widthMs),
      listed: evidence.listed,
      lostTogether: evidence.losses.length,
      chances: verdicts.map(({ task, chance }) => [task, chance]),
    },
  });
  recordCrash(state, crash, splitRuns(recorded));
  for (const verdict of verdicts) {
    const { task } = verdict;
    applyVerdict(state, crash, { verdict, time });
    const wasTrial = crash.suspicions.get(task)! >= TRIAL_PROBABILITY;
    if (wasTrial && isLikelyCause(state, task)) {
      lowerTrialLimit(state, task, time);
    }
    endProvenCause(state, task, time);
  }
}

function isLikelyCause(state: CellState, task: string): boolean {
  const crashes = state.suspects.get(task)?.task.crashes;
  return crashes !== undefined &&
    estimateProbability(crashes) >= LIKELY_CAUSE_PROBABILITY;
}

/** Takes back blame that later evidence weakens, in the journal too. */
function lowerBlame(
  state: CellState,
  crash: Crash,
  { verdicts, time }: { verdicts: readonly Verdict[]; time: CurrentTime },
): void {
  const revised = verdicts.filter((verdict) => {
    const counted = findCounted(state, crash, verdict);
    return counted && verdict.chance >= counted.chance * MIN_CHANCE_GROWTH;
  });
  recordCrash(state, crash, splitRuns(revised));
  for (const verdict of revised) applyVerdict(state, crash, { verdict, time });
}

function applyVerdict(
  state: CellState,
  { endpoint, bornAt, isMissing, phase }: Crash,
  { verdict, time }: { verdict: Verdict; time: CurrentTime },
): void {
  const { task, run, chance } = verdict;
  const isSettled = phase === CrashPhase.Settled;
  applyCrash(
    state,
    { task, run, endpoint, bornAt, chance, isSettled, isMissing },
    time,
  );
}

/**
 * Records a crash, one record for each part of its suspects. One of an endpoint that is
 * only missing is not recorded: the endpoint may answer again.
 */
function recordCrash(
  state: CellState,
  crash: Crash,
  parts: readonly Verdict[][],
): void {
  if (crash.isMissing) return;
  const isSettled = crash.phase === CrashPhase.Settled;
  const stored = describeStored(crash);
  for (const part of parts) {
    state.output.records.push(makeRecord({ ...stored, isSettled }, part));
  }
}

function isTelling({ chance }: Verdict): boolean {
  return chance < NEGLIGIBLE_CHANCE;
}

function findCounted(
  state: CellState,
  { endpoint, bornAt }: Crash,
  { task }: Verdict,
): CountedCrash | undefined {
  return state.suspects.get(task)?.task.crashes.counted.find((crash) =>
    crash.endpoint === endpoint && crash.bornAt === bornAt
  );
}
