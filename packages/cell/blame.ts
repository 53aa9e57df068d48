import { JobState } from "../jobs/mod.ts";
import { type JournalRecord, RecordKind } from "../journal/mod.ts";
import {
  EARLIER_ATTRIBUTABLE_CHANCE,
  EARLIER_SINGLE_CHANCE,
  EARLIER_WIDESPREAD_CHANCE,
  NEGLIGIBLE_CHANCE,
  TELLING_CHANCE,
  UNSETTLED_CHANCE,
} from "./constants.ts";
import { restoreCrash } from "./crash_history.ts";
import { isProvenCause, sumEvidence } from "./crash_evidence.ts";
import { findTask } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import { type CurrentTime, endJob } from "./task_ends.ts";
import {
  type CountedCrash,
  DecisionKind,
  type Endpoint,
  type Stage,
  type Task,
  type TaskCrashes,
  TaskPhase,
} from "./types.ts";

/** The end of one lifetime of an endpoint. */
type Lifetime = Pick<CountedCrash, "endpoint" | "bornAt">;

/** A record of the journal about a crash. */
type CrashedRecord = Extract<JournalRecord, { kind: RecordKind.Crashed }>;

/**
 * Counts a crash for a suspected run, or changes its chance if it is counted. A crash
 * that says nothing is not counted. Settled blame is only taken back. Idempotent, for
 * journal replay.
 */
export function applyCrash(
  state: CellState,
  { task: name, ...crash }: CountedCrash & { task: string },
  { now }: { now: number },
): void {
  const taskRef = findTask(state, name);
  if (!taskRef || taskRef.stage.job.outcome) return;
  const { phase, crashes } = taskRef.task;
  if (phase === TaskPhase.Done || crash.run <= crashes.clearedRun) return;
  const counted = findCounted(crashes, crash);
  if (counted?.isSettled && crash.chance < counted.chance) return;
  if (crash.chance >= NEGLIGIBLE_CHANCE) return dropCrash(state, name, crash);
  if (counted) Object.assign(counted, crash);
  else {
    crashes.counted.push(crash);
    crashes.suspectedAt = now;
  }
  state.suspects.set(name, taskRef);
}

function dropCrash(state: CellState, name: string, lifetime: Lifetime): void {
  const crashes = state.suspects.get(name)?.task.crashes;
  if (!crashes) return;
  crashes.counted = crashes.counted.filter((crash) =>
    !matchesLifetime(crash, lifetime)
  );
  if (crashes.counted.length === 0) state.suspects.delete(name);
}

/** Drops what was counted for a lifetime of an endpoint that answers again. */
export function dropCrashCounts(
  state: CellState,
  { info, bornAt }: Endpoint,
): void {
  const lifetime = { endpoint: info.id, bornAt };
  const index = state.recentCrashes.findIndex((crash) =>
    matchesLifetime(crash, lifetime)
  );
  if (index >= 0) state.recentCrashes.splice(index, 1);
  for (const [name, { task }] of state.suspects) {
    if (findCounted(task.crashes, lifetime)) dropCrash(state, name, lifetime);
  }
}

/** Clears the crash count of a task whose run has outlived its probation. */
export function clearCrashes(
  state: CellState,
  clearance: { task: string; run: number },
): void {
  applyClearance(state, clearance);
  state.output.records.push({ kind: RecordKind.Cleared, ...clearance });
}

/** Applies a clearance to the state. Idempotent, for journal replay. */
export function applyClearance(
  state: CellState,
  clearance: { task: string; run: number },
): void {
  const taskRef = findTask(state, clearance.task);
  if (!taskRef) return;
  const { crashes, name } = taskRef.task;
  crashes.clearedRun = Math.max(crashes.clearedRun, clearance.run);
  crashes.counted = crashes.counted.filter(({ run }) =>
    run > crashes.clearedRun
  );
  if (crashes.counted.length === 0) state.suspects.delete(name);
}

/** Returns whether a lifetime is counted for a task, or its run has been cleared. */
export function hasCounted(
  crashes: TaskCrashes,
  crash: Lifetime & { run: number },
): boolean {
  return crash.run <= crashes.clearedRun ||
    findCounted(crashes, crash) !== undefined;
}

/**
 * Ends the job of a task that is proven to crash its endpoints. The settled crashes
 * alone count, which the journal holds: a new owner comes to the same verdict.
 */
export function endProvenCause(
  state: CellState,
  name: string,
  { now }: CurrentTime,
): void {
  const taskRef = findTask(state, name);
  if (!taskRef || taskRef.stage.job.outcome) return;
  const { crashes } = taskRef.task;
  const settled = crashes.counted.filter(({ isSettled }) => isSettled);
  const evidence = sumEvidence({ ...crashes, counted: settled });
  if (!isProvenCause(evidence)) return;
  const endpoints = settled.map(({ endpoint }) => endpoint);
  addDecision(state, {
    kind: DecisionKind.TaskGivenUp,
    subject: name,
    inputs: {
      endpoints,
      chances: settled.map(({ chance }) => chance),
      evidence: Number(evidence.toFixed(2)),
      clearedRun: crashes.clearedRun,
    },
  });
  recordMissing(state, name, settled);
  endJob(state, taskRef.stage.job, {
    outcome: JobState.Failed,
    now,
    reason: `${name} has crashed ${endpoints.length} endpoints: ${
      endpoints.join(", ")
    }`,
  });
}

/** Records the crashes of endpoints that were only missing: the verdict rests on them. */
function recordMissing(
  state: CellState,
  task: string,
  settled: readonly CountedCrash[],
): void {
  for (const { run, chance, isMissing, ...lifetime } of settled) {
    if (!isMissing) continue;
    state.output.records.push(makeRecord(lifetime, [{ task, run, chance }]));
  }
}

/**
 * Makes the record of a crash. `isAttributable` and `isWidespread` are what earlier
 * versions read.
 */
export function makeRecord(
  crash: Lifetime & Pick<CrashedRecord, "service" | "aliveAt" | "lostAt"> & {
    isSettled: boolean;
  },
  suspects: readonly { task: string; run: number; chance: number }[],
): CrashedRecord {
  const chances = suspects.map(({ chance }) => chance);
  return {
    kind: RecordKind.Crashed,
    ...crash,
    runs: suspects.map(({ task, run }) => [task, run]),
    chances,
    isAttributable: suspects.length === 1 && chances[0] < TELLING_CHANCE,
    isWidespread: chances.every((chance) => chance >= TELLING_CHANCE),
  };
}

/** Applies the record of a crash when the journal is replayed. */
export function applyCrashedRecord(
  state: CellState,
  record: CrashedRecord,
  time: CurrentTime,
): void {
  const { endpoint, bornAt, chances, isSettled = true } = record;
  restoreCrash(state, record, time);
  for (const [index, [task, run]] of record.runs.entries()) {
    const chance = chances?.[index] ??
      estimateEarlierChance(findTask(state, task), record);
    applyCrash(
      state,
      { task, run, endpoint, bornAt, chance, isSettled },
      time,
    );
    endProvenCause(state, task, time);
  }
}

/**
 * Settles the crashes about which a former owner had not gathered all evidence. They can't
 * be told from crashes of many endpoints any more, so that each says little.
 */
export function settleFormerCrashes(state: CellState, time: CurrentTime): void {
  for (const [task, { task: { crashes } }] of [...state.suspects]) {
    for (const { isSettled, ...crash } of [...crashes.counted]) {
      if (isSettled) continue;
      const chance = Math.max(crash.chance, UNSETTLED_CHANCE);
      const settled = { ...crash, chance, isSettled: true };
      applyCrash(state, { task, ...settled }, time);
      const { run, endpoint, bornAt } = crash;
      state.output.records.push(
        makeRecord({ endpoint, bornAt, isSettled: true }, [
          { task, run, chance },
        ]),
      );
    }
    endProvenCause(state, task, time);
  }
}

/** Estimates the chance of a crash that an earlier version recorded without one. */
function estimateEarlierChance(
  taskRef: { stage: Stage; task: Task } | undefined,
  { isAttributable, isWidespread }: CrashedRecord,
): number {
  if (isWidespread) return EARLIER_WIDESPREAD_CHANCE;
  const hasOther = (taskRef?.task.crashes.counted.length ?? 0) > 0;
  return isAttributable && hasOther
    ? EARLIER_ATTRIBUTABLE_CHANCE
    : EARLIER_SINGLE_CHANCE;
}

function findCounted(
  { counted }: TaskCrashes,
  lifetime: Lifetime,
): CountedCrash | undefined {
  return counted.find((crash) => matchesLifetime(crash, lifetime));
}

function matchesLifetime(a: Lifetime, b: Lifetime): boolean {
  return a.endpoint === b.endpoint && a.bornAt === b.bornAt;
}
