import { CRASH_HISTORY_MS } from "./constants.ts";
import { type Crash, CrashPhase } from "./crash_types.ts";
import type { CellState } from "./state.ts";
import type { CurrentTime } from "./task_ends.ts";

/** A crash that a former owner noted, as stored. Times: Unix milliseconds. */
export interface StoredCrash {
  endpoint: string;
  bornAt: number;
  service: string;
  aliveAt: number;
  lostAt: number;
  /** Pairs of task name and run number. */
  runs: [string, number][];
}

/** Describes a crash for the journal and for snapshots. */
export function describeStored(crash: Crash): StoredCrash {
  const { endpoint, bornAt, service, aliveAt, lostAt, lostAtUnix } = crash;
  return {
    endpoint,
    bornAt,
    service,
    aliveAt: Math.round(lostAtUnix - (lostAt - aliveAt)),
    lostAt: Math.round(lostAtUnix),
    runs: crash.suspects.map(({ task, run }) => [task, run]),
  };
}

/** Collects the recent crashes, which a later owner compares with its own. */
export function collectCrashes({ recentCrashes }: CellState): StoredCrash[] {
  return recentCrashes.filter(({ isMissing }) => !isMissing)
    .map(describeStored);
}

/**
 * Restores a crash that a former owner noted: evidence about the background rate and
 * about what was lost at the same moment. Idempotent, for journal replay.
 */
export function restoreCrash(
  state: CellState,
  stored:
    & Pick<StoredCrash, "endpoint" | "bornAt" | "runs">
    & Partial<StoredCrash>,
  { now, wallNow }: CurrentTime,
): void {
  const { endpoint, bornAt, service, aliveAt, lostAt, runs } = stored;
  if (!service || aliveAt === undefined || lostAt === undefined) return;
  // The clocks of two VMs may differ.
  const ageMs = Math.max(0, wallNow - lostAt);
  if (ageMs >= CRASH_HISTORY_MS) return;
  const isKnown = state.recentCrashes.some((crash) =>
    crash.endpoint === endpoint && crash.bornAt === bornAt
  );
  if (isKnown) return;
  const crash: Crash = {
    endpoint,
    bornAt,
    service,
    aliveAt: now - ageMs - (lostAt - aliveAt),
    lostAt: now - ageMs,
    lostAtUnix: lostAt,
    notedAt: now - ageMs,
    suspects: runs.map(([task, run]) => ({ task, run, isRightBefore: true })),
    eventShare: 1,
    suspicions: new Map(),
    runs: runs.length,
    isMissing: false,
    phase: CrashPhase.Restored,
  };
  state.recentCrashes.push(crash);
}
