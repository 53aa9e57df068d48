import { RecordKind } from "../journal/mod.ts";
import { EndKind, parseTaskName } from "../jobs/mod.ts";
import { canStoreCheckpoint, noteCheckpointIgnored } from "./checkpoints.ts";
import { MAX_LEASE_MS } from "./constants.ts";
import {
  type ListingTimes,
  recordEnd,
  recordEndpointResult,
  releaseRun,
  setCheckpoint,
} from "./task_ends.ts";
import { settleUnlocated } from "./endpoints.ts";
import { noteFenceAccepted } from "./fences.ts";
import { beginLifetime } from "./lifetimes.ts";
import { noteLeaseGranted, noteOrdersFencedOff } from "./leases.ts";
import {
  addDecision,
  addRun,
  type CellState,
  describeRoom,
  removeRun,
  removeWaiting,
} from "./state.ts";
import { computeRunCost } from "./remnants.ts";
import { findTask, removeUnlocated } from "./stages.ts";
import { noteProgress, noteRunEnd, noteRunReleased } from "./run_feed.ts";
import { checkProgress, noteStallCheck } from "./stalls.ts";
import { planPaces } from "./colocation.ts";
import { StopReason, stopRun } from "./stop_run.ts";
import { settleUnlistedRun } from "./unlisted_runs.ts";
import {
  DecisionKind,
  type Endpoint,
  type EndpointListing,
  type ListedEnd,
  type ListedRun,
  type Run,
  RunPhase,
  TaskPhase,
} from "./types.ts";

/** A listing, and the fencing token of the poll that it answers. */
export interface ListingOptions {
  listing: EndpointListing;
  fence: number;
  times: ListingTimes;
}

/**
 * Applies an endpoint's listing of its current and ended runs. Listings that
 * arrive out of order are ignored. A listing of another lifetime is in order if it was
 * asked for after the newest one had arrived: the start that a lifetime states does not
 * order them, as the time of day may be stepped.
 */
export function applyListing(
  state: CellState,
  endpoint: Endpoint,
  options: ListingOptions,
): void {
  const { listing, fence, times } = options;
  const { bornAt, clockMs } = listing;
  const isOtherLifetime = bornAt !== endpoint.bornAt;
  const isOutOfOrder = isOtherLifetime
    ? times.askedAt < endpoint.lastListingAt
    : clockMs < endpoint.lastListingClock;
  if (isOutOfOrder) return noteListingIgnored(state, endpoint, options);
  noteFenceAccepted(endpoint, { token: fence, isOtherLifetime });
  if (!isOtherLifetime) {
    noteOrdersFencedOff(endpoint, { token: fence, now: times.now });
  }
  if (isOtherLifetime) {
    beginLifetime(state, endpoint, { bornAt, clockMs, times });
  }
  endpoint.lastListingAt = times.now;
  endpoint.lastListingClock = listing.clockMs;
  endpoint.lastListingAskedAt = times.askedAt;
  const proof = { extent: listing.extent, bornAt, askedAt: times.askedAt };
  endpoint.proof = proof;
  endpoint.unresponsiveUntil = 0;
  endpoint.clockOffset = listing.clockMs - times.now;
  recordEndpoint(state, endpoint);
  for (const end of listing.ended) {
    if (end.number > endpoint.lastEndNumber) {
      endpoint.lastEndNumber = end.number;
      applyListedEnd(state, endpoint, { end, times });
    }
  }
  if (endpoint.lastEndNumber > endpoint.committedEndNumber) {
    const lastEnd = { bornAt: endpoint.bornAt, end: endpoint.lastEndNumber };
    state.output.committedEnds.set(endpoint, lastEnd);
  }
  const listed = new Set<string>();
  for (const listedRun of listing.running) {
    listed.add(listedRun.task);
    applyListedRun(state, endpoint, { listedRun, times });
  }
  for (const run of [...endpoint.runs.values()]) {
    if (!listed.has(run.task)) settleUnlistedRun(state, run, { proof, times });
  }
  endpoint.hasAcceptedFence = true;
  noteStallCheck(state, endpoint, times);
  planPaces(state, endpoint, times);
  settleUnlocated(state, times);
}

function noteListingIgnored(
  state: CellState,
  endpoint: Endpoint,
  { listing, times }: ListingOptions,
): void {
  addDecision(state, {
    kind: DecisionKind.ListingIgnored,
    subject: endpoint.info.id,
    inputs: {
      bornAt: endpoint.bornAt,
      listedBornAt: listing.bornAt,
      lastClockMs: endpoint.lastListingClock,
      clockMs: listing.clockMs,
      askedMsAgo: Math.round(times.now - times.askedAt),
    },
  });
}

function recordEndpoint(state: CellState, endpoint: Endpoint): void {
  if (endpoint.isRecorded || endpoint.isRecording) return;
  endpoint.isRecording = true;
  state.output.recorded.add(endpoint);
  state.output.records.push({
    kind: RecordKind.EndpointUsed,
    endpoint: endpoint.info.id,
    address: endpoint.info.address,
    service: endpoint.info.service,
  });
}

function applyListedEnd(
  state: CellState,
  endpoint: Endpoint,
  options: { end: ListedEnd; times: ListingTimes },
): void {
  const { times } = options;
  let { end } = options;
  if (!canStoreCheckpoint(end.saved)) {
    noteCheckpointIgnored(state, endpoint, end);
    end = { ...end, saved: "" };
  }
  const run = endpoint.runs.get(end.task);
  const runTimes = run?.number === end.run
    ? noteRunEnd(state, run, { end: end.end, now: times.now })
    : {};
  recordEnd(state, end, times);
  addDecision(state, {
    kind: DecisionKind.Ended,
    subject: end.task,
    inputs: {
      run: end.run,
      endpoint: endpoint.info.id,
      end: end.end,
      ...runTimes,
    },
  });
  const isFailure = end.end === EndKind.Failed;
  if (isFailure || end.end === EndKind.Done) {
    const job = parseTaskName(end.task)?.job ?? "";
    recordEndpointResult(state, endpoint, { job, isFailure, now: times.now });
  }
  // The endpoint may have a later run of the task, which is not released here.
  if (run && run.number <= end.run) {
    releaseRun(state, run, {
      now: times.now,
      hasFailed: isFailure,
      reason: `ended ${end.end}`,
    });
  }
}

function applyListedRun(
  state: CellState,
  endpoint: Endpoint,
  options: { listedRun: ListedRun; times: ListingTimes },
): void {
  const { listedRun, times } = options;
  let run = endpoint.runs.get(listedRun.task);
  if (run && run.number > listedRun.run) return;
  if (!run || run.number < listedRun.run) {
    run = adoptRun(state, endpoint, options);
  }
  run.isLifetimeKnown = true;
  run.startMayArriveUntil = 0;
  if (
    run.phase === RunPhase.Starting || run.phase === RunPhase.Unacknowledged
  ) {
    run.phase = RunPhase.Running;
    run.lastChangedAt = times.now;
  }
  const taskRef = findTask(state, listedRun.task);
  if (taskRef) taskRef.stage.job.hasStarted = true;
  if (!canStoreCheckpoint(listedRun.saved)) {
    if (!run.hasLargeCheckpoint) {
      noteCheckpointIgnored(state, endpoint, listedRun);
    }
    run.hasLargeCheckpoint = true;
  } else if (taskRef && listedRun.saved && taskRef.task.run === run) {
    if (taskRef.task.checkpoint !== listedRun.saved) run.savedAt = times.now;
    setCheckpoint(taskRef, listedRun.saved);
  }
  run.gauge = listedRun.gauge;
  const listed = { percent: listedRun.percent, now: times.now };
  noteProgress(state, run, listed);
  checkProgress(state, run, listed);
}

/**
 * Adopts a run that a former owner or a late order started; it takes the place
 * of an earlier run of the task on the endpoint. Stops the run unless its task
 * is unlocated, that is, may still run where a former owner placed it, and was placed
 * there.
 */
function adoptRun(
  state: CellState,
  endpoint: Endpoint,
  options: { listedRun: ListedRun; times: ListingTimes },
): Run {
  const { listedRun, times } = options;
  const taskRef = findTask(state, listedRun.task);
  const { source, ...cost } = computeRunCost(state, {
    task: listedRun.task,
    endpoint: endpoint.info.id,
  });
  const run: Run = {
    task: listedRun.task,
    number: listedRun.run,
    endpoint,
    ...cost,
    phase: RunPhase.Running,
    lastChangedAt: times.now,
    startedAt: times.now,
    isStopAcknowledged: false,
    isStopOrderInFlight: false,
    isLifetimeKnown: true,
    sentToBornAt: 0,
    sentFence: 0,
    startMayArriveUntil: 0,
    startSettledAt: 0,
    unlistedLeaseEndsAt: 0,
    hasTicket: false,
    percent: listedRun.percent,
    progressAt: times.now,
    pace: undefined,
    isPaceOrderInFlight: false,
    gauge: listedRun.gauge,
  };
  const earlierRun = endpoint.runs.get(listedRun.task);
  if (earlierRun) {
    noteRunReleased(state, earlierRun);
    removeRun(state, earlierRun);
    if (taskRef?.task.run === earlierRun) taskRef.task.run = run;
  }
  addRun(state, run);
  // A former owner may have granted a lease just now, with an old estimate of the
  // endpoint's clock.
  noteLeaseGranted(endpoint, { now: times.now, leaseMs: MAX_LEASE_MS });
  const isExpected = taskRef?.task.phase === TaskPhase.Unlocated &&
    taskRef.task.placedOn === endpoint.info.id;
  addDecision(state, {
    kind: DecisionKind.Adopted,
    subject: listedRun.task,
    inputs: {
      run: listedRun.run,
      endpoint: endpoint.info.id,
      bornAt: endpoint.bornAt,
      isExpected,
      taskPhase: taskRef?.task.phase ?? "",
      placedOn: taskRef?.task.placedOn ?? "",
      isListed: endpoint.isListed,
      source,
      ...describeRoom(run),
    },
  });
  if (!taskRef || !isExpected) {
    stopRun(state, run, {
      now: times.now,
      reason: StopReason.NoLongerNeeded,
      inputs: { why: "listed, but placed elsewhere or not at all" },
    });
    return run;
  }
  const { stage, task } = taskRef;
  removeUnlocated(state, taskRef);
  task.phase = TaskPhase.Placed;
  removeWaiting(state, stage);
  task.run = run;
  task.placedOn = endpoint.info.id;
  task.lastRun = Math.max(task.lastRun, listedRun.run);
  stage.job.hasStarted = true;
  return run;
}
