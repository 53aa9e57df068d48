import { RecordKind } from "../journal/mod.ts";
import { EndKind, getRoomDemand, parseTaskName } from "../jobs/mod.ts";
import { LATE_ORDER_MS, STALL_MS } from "./constants.ts";
import {
  noteEnd,
  noteEndpointResult,
  type Present,
  releaseRun,
  setProgress,
  stopGang,
} from "./ends.ts";
import { noteLeaseSent, settleUnlocated } from "./endpoints.ts";
import { addDecision, addRun, type CellState, removeWaiting } from "./state.ts";
import { findTask, getStep, removeUnlocated } from "./stages.ts";
import { planPaces } from "./sharing.ts";
import { sendStop, stopRun } from "./stops.ts";
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

/** When a listing was asked for and when it came, in this process's time. */
export interface ListingTimes extends Present {
  askedAt: number;
}

/** Applies what an endpoint reports of its runs and ends. */
export function applyListing(
  state: CellState,
  endpoint: Endpoint,
  options: { listing: EndpointListing; times: ListingTimes },
): void {
  const { listing, times } = options;
  if (listing.bornAt < endpoint.bornAt) return;
  if (listing.bornAt > endpoint.bornAt) {
    restartEndpoint(state, endpoint, { bornAt: listing.bornAt, times });
  } else if (listing.clockMs < endpoint.listedClock) return;
  endpoint.listedClock = listing.clockMs;
  endpoint.silentUntil = 0;
  endpoint.clockOffset = listing.clockMs - times.now;
  recordEndpoint(state, endpoint);
  for (const end of listing.ended) {
    if (end.number > endpoint.lastEnd) {
      endpoint.lastEnd = end.number;
      applyListedEnd(state, endpoint, { end, times });
    }
  }
  if (endpoint.lastEnd > endpoint.committedEnd) {
    const mark = { bornAt: endpoint.bornAt, end: endpoint.lastEnd };
    state.output.marks.set(endpoint, mark);
  }
  const listed = new Set<string>();
  for (const row of listing.running) {
    listed.add(row.task);
    applyListedRun(state, endpoint, { row, times });
  }
  for (const run of [...endpoint.runs.values()]) {
    if (!listed.has(run.task)) settleAbsentRun(state, run, times);
  }
  endpoint.isHeld = true;
  planPaces(state, endpoint, times);
  settleUnlocated(state, times.now);
}

/**
 * All runs of an endpoint's former lifetime are gone. What was sent to it and
 * had no answer may still reach the new one, which has the same id: a start is
 * barred by a stop, and after a note of ends nothing is started for a while,
 * since the new ends have the same numbers.
 */
function restartEndpoint(
  state: CellState,
  endpoint: Endpoint,
  options: { bornAt: number; times: Present },
): void {
  const { bornAt, times } = options;
  if (endpoint.bornAt > 0) {
    addDecision(state, {
      kind: DecisionKind.EndpointReborn,
      subject: endpoint.info.id,
      inputs: { was: endpoint.bornAt, is: bornAt, runs: endpoint.runs.size },
    });
  }
  endpoint.bornAt = bornAt;
  endpoint.lastEnd = 0;
  endpoint.committedEnd = 0;
  endpoint.listedClock = 0;
  endpoint.failuresInRow = 0;
  endpoint.ejectedUntil = 0;
  const notesEndAt = endpoint.unansweredNoteAt + LATE_ORDER_MS;
  endpoint.pausedUntil = Math.max(endpoint.pausedUntil, notesEndAt);
  for (const run of [...endpoint.runs.values()]) {
    if (run.phase !== RunPhase.Running) {
      run.phase = RunPhase.Unsure;
      stopRun(state, run, times);
      continue;
    }
    releaseRun(state, run, {
      now: times.now,
      isFault: false,
      reason: "the endpoint started anew",
    });
  }
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
  const { end, times } = options;
  // An end says nothing of where a later run of the same task may be.
  noteEnd(state, end, times);
  const run = endpoint.runs.get(end.task);
  addDecision(state, {
    kind: DecisionKind.Ended,
    subject: end.task,
    inputs: { run: end.run, endpoint: endpoint.info.id, end: end.end },
  });
  const isFailure = end.end === EndKind.Failed;
  if (isFailure || end.end === EndKind.Done) {
    const job = parseTaskName(end.task)?.job ?? "";
    noteEndpointResult(state, endpoint, { job, isFailure, now: times.now });
  }
  if (run && run.number <= end.run) {
    releaseRun(state, run, {
      now: times.now,
      isFault: isFailure,
      reason: `ended ${end.end}`,
    });
  }
}

function applyListedRun(
  state: CellState,
  endpoint: Endpoint,
  options: { row: ListedRun; times: ListingTimes },
): void {
  const { row, times } = options;
  let run = endpoint.runs.get(row.task);
  if (run && run.number > row.run) return;
  if (!run || run.number < row.run) {
    run = adoptRun(state, endpoint, options);
  }
  if (run.phase === RunPhase.Starting || run.phase === RunPhase.Unsure) {
    run.phase = RunPhase.Running;
    run.settledAt = times.now;
  }
  const place = findTask(state, row.task);
  if (place) place.stage.job.hasStarted = true;
  if (place && row.saved && place.task.run === run) {
    setProgress(place, row.saved);
  }
  run.gauge = row.gauge;
  checkProgress(state, run, options);
}

/** Takes over a run that a former owner, or a late order, started. */
function adoptRun(
  state: CellState,
  endpoint: Endpoint,
  options: { row: ListedRun; times: ListingTimes },
): Run {
  const { row, times } = options;
  const place = findTask(state, row.task);
  const step = place && getStep(place.stage);
  const run: Run = {
    task: row.task,
    number: row.run,
    endpoint,
    // Of an unknown task nothing else is known: it may take all there is.
    demand: step ? getRoomDemand(step) : endpoint.info.capacity,
    charge: step?.demand ?? endpoint.info.capacity,
    organisation: place?.stage.job.spec.organisation ?? "",
    phase: RunPhase.Running,
    settledAt: times.now,
    startedAt: times.now,
    isStopAcknowledged: false,
    isStopUnderWay: false,
    percent: row.percent,
    progressAt: times.now,
    pace: undefined,
    isPaceUnderWay: false,
    gauge: row.gauge,
  };
  addRun(state, run);
  // Its lease is one that a former owner gave: it may be a whole one.
  noteLeaseSent(endpoint, { now: times.now, leaseMs: state.leaseMs });
  const isExpected = place?.task.phase === TaskPhase.Unlocated;
  addDecision(state, {
    kind: DecisionKind.Adopted,
    subject: row.task,
    inputs: { run: row.run, endpoint: endpoint.info.id, isExpected },
  });
  if (!place || !isExpected) {
    stopRun(state, run, times);
    return run;
  }
  const { stage, task } = place;
  removeUnlocated(state, place);
  task.phase = TaskPhase.Placed;
  removeWaiting(state, stage);
  task.run = run;
  task.lastRun = Math.max(task.lastRun, row.run);
  stage.job.hasStarted = true;
  return run;
}

/** A run that does not move is stopped, and restarted elsewhere. */
function checkProgress(
  state: CellState,
  run: Run,
  options: { row: ListedRun; times: ListingTimes },
): void {
  const { row, times } = options;
  if (row.percent !== run.percent) {
    run.percent = row.percent;
    run.progressAt = times.now;
    return;
  }
  if (run.phase !== RunPhase.Running) return;
  if (times.now - run.progressAt < STALL_MS) return;
  const place = findTask(state, run.task);
  if (!place) return;
  const { longRunning, isFilling } = getStep(place.stage);
  // Filling work may stand still for want of cores that nobody else uses.
  if (longRunning || isFilling) return;
  noteEndpointResult(state, run.endpoint, {
    job: place.stage.job.spec.id,
    isFailure: true,
    now: times.now,
  });
  stopRun(state, run, times);
  place.task.avoid = run.endpoint.info.id;
  if (getStep(place.stage).gang) stopGang(state, place.stage, times);
}

/** Decides what it means that a known run is not listed. */
function settleAbsentRun(
  state: CellState,
  run: Run,
  times: ListingTimes,
): void {
  if (times.askedAt <= run.settledAt) return;
  if (run.phase === RunPhase.Starting) return;
  if (run.phase === RunPhase.Stopping) {
    if (!run.isStopAcknowledged) return sendStop(state, run);
    return releaseRun(state, run, {
      now: times.now,
      isFault: false,
      reason: "stopped, or never started",
    });
  }
  // A late order could still start it; after a stop it no longer can.
  stopRun(state, run, times);
}
