import { FORMER_START_MS, SUSPECT_WINDOW_MS } from "./constants.ts";
import { estimateSuspicions } from "./crash_background.ts";
import { type Crash, CrashPhase } from "./crash_types.ts";
import { hasCounted } from "./blame.ts";
import { addDecision, type CellState } from "./state.ts";
import {
  describeSuspects,
  findLastSign,
  isLeaving,
  listSuspectRuns,
} from "./suspects.ts";
import type { CurrentTime } from "./task_ends.ts";
import { DecisionKind, type Endpoint, type Stage, type Task } from "./types.ts";

/**
 * Describes the end of an endpoint's known lifetime; `undefined` if that lifetime
 * was not known, is counted already, or ended as planned. Called before the runs of
 * the lifetime are released.
 */
export function describeCrash(
  state: CellState,
  endpoint: Endpoint,
  { isMissing, time }: { isMissing: boolean; time: CurrentTime },
): Crash | undefined {
  const { bornAt, contact, info, runs } = endpoint;
  if (bornAt === 0 || contact.endedBornAt === bornAt) return undefined;
  contact.endedBornAt = bornAt;
  const suspects = describeSuspects(
    endpoint,
    listSuspectRuns(state, endpoint),
  );
  const aliveAt = findLastSign(endpoint);
  const lostAt = contact.lostAt || time.now;
  contact.lapsedRuns = [];
  if (isLeaving(endpoint)) return undefined;
  return {
    endpoint: info.id,
    service: info.service,
    bornAt,
    aliveAt,
    lostAt,
    lostAtUnix: time.wallNow - (time.now - lostAt),
    notedAt: time.now,
    suspects,
    eventShare: 1,
    suspicions: estimateSuspicions(state, suspects),
    runs: runs.size,
    isMissing,
    phase: CrashPhase.Noted,
  };
}

/**
 * Notes a crash. Its runs are requeued at once; what it says of its suspects is judged
 * while the evidence comes in (`settle_crashes.ts`).
 */
export function noteCrash(state: CellState, crash: Crash | undefined): void {
  if (!crash) return;
  const { notedAt, aliveAt, lostAt } = crash;
  state.recentCrashes.push(crash);
  addDecision(state, {
    kind: DecisionKind.EndpointCrashed,
    subject: crash.endpoint,
    inputs: {
      bornAt: crash.bornAt,
      runs: crash.runs,
      suspects: crash.suspects.map(({ task }) => task),
      isMissing: crash.isMissing,
      aliveMsAgo: Math.round(notedAt - aliveAt),
      lostMsAgo: Math.round(notedAt - lostAt),
    },
  });
}

/**
 * Notes crashes of endpoints on which a former owner placed tasks. Suspected are those
 * that were placed last there, and shortly before this owner restored the cell. The
 * endpoint was lost at some time since, so that each of them is suspected a little. `settled`: tasks that certainly do not run
 * where they were placed.
 */
export function noteFormerCrashes(
  state: CellState,
  settled: Iterable<{ stage: Stage; task: Task }>,
  time: CurrentTime,
): void {
  const lifetimes = new Map<string, { endpoint: Endpoint; tasks: Task[] }>();
  for (const { task } of settled) {
    const endpoint = state.endpoints.get(task.placedOn);
    if (!endpoint || !hasCrashedSince(endpoint, task)) continue;
    const key = `${endpoint.info.id}@${task.placedBornAt}`;
    const lifetime = lifetimes.get(key);
    if (lifetime) lifetime.tasks.push(task);
    else lifetimes.set(key, { endpoint, tasks: [task] });
  }
  for (const { endpoint, tasks } of lifetimes.values()) {
    const bornAt = tasks[0].placedBornAt;
    const newestAt = Math.max(...tasks.map(({ placedAt }) => placedAt));
    const since = Math.max(
      state.restoredAt - FORMER_START_MS,
      newestAt - SUSPECT_WINDOW_MS,
    );
    const suspects = tasks.filter(({ placedAt, crashes, lastRun }) =>
      placedAt >= since && !hasCounted(crashes, {
        run: lastRun,
        endpoint: endpoint.info.id,
        bornAt,
      })
    );
    if (suspects.length === 0) continue;
    const suspectRuns = suspects.map(({ name, lastRun }) => ({
      task: name,
      run: lastRun,
      isRightBefore: true,
    }));
    const placedAt = time.now - Math.max(0, time.wallNow - newestAt);
    const lostAt = Math.max(placedAt, endpoint.lifetimeSeenAt || time.now);
    noteCrash(state, {
      endpoint: endpoint.info.id,
      service: endpoint.info.service,
      bornAt,
      aliveAt: placedAt,
      lostAt,
      lostAtUnix: time.wallNow - (time.now - lostAt),
      notedAt: time.now,
      suspects: suspectRuns,
      eventShare: 1,
      suspicions: estimateSuspicions(state, suspectRuns),
      runs: tasks.length,
      isMissing: false,
      phase: CrashPhase.Noted,
    });
  }
}

/** Returns whether an endpoint is in another lifetime than the task was placed in. */
function hasCrashedSince(endpoint: Endpoint, task: Task): boolean {
  if (task.placedBornAt === 0) return false;
  if (endpoint.isListed && isLeaving(endpoint)) return false;
  return endpoint.isReplaced ||
    endpoint.bornAt !== 0 && endpoint.bornAt !== task.placedBornAt;
}
