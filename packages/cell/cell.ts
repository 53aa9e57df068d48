import { RecordKind, splitRuns } from "../journal/mod.ts";
import { findJobError, type JobSpec, JobState } from "../jobs/mod.ts";
import { LATE_ORDER_MS } from "./constants.ts";
import { makeAdmissionState } from "./admission_state.ts";
import {
  addBacklog,
  admitJob,
  MAX_RETRY_MS,
  measureBacklogs,
} from "./admission.ts";
import {
  applyAdvice,
  applyPaceAnswer,
  applyStartAnswer,
  applyStopAnswer,
} from "./order_results.ts";
import { settleUnansweredStarts } from "./gang_starts.ts";
import {
  expireEndpoints,
  noteReplacement,
  updateEndpoints,
} from "./endpoints.ts";
import { type CurrentTime, endJob } from "./task_ends.ts";
import { applyListing, type ListingOptions } from "./listing.ts";
import {
  beginDeferredJobs,
  DEFAULT_HELD_TASKS,
  explainHeldTasks,
} from "./held_tasks.ts";
import { makePlacementMemory } from "./placement_memory.ts";
import { checkOverShare, getJobRatio } from "./dominant_shares.ts";
import { planLeaving } from "./leaving.ts";
import { planStarts } from "./plan.ts";
import {
  AdmissionName,
  buildPolicies,
  DEFAULT_POLICIES,
  type PolicyNames,
  SharesName,
} from "./policies.ts";
import { setReturnDueTime } from "./room_admission.ts";
import { predictJob } from "./predict_job.ts";
import { buildRunTimes } from "./run_feed.ts";
import { RunningDemand } from "./running_demand.ts";
import { ShareMeter } from "./share_meter.ts";
import {
  type CellSnapshot,
  collectSnapshot,
  finishJob,
  restoreCell,
} from "./snapshot.ts";
import { dropCrashCounts } from "./blame.ts";
import { canInterrupt } from "./colocation.ts";
import { buildJob, findTask, openStages } from "./stages.ts";
import { type CellOutput, type CellState, makeOutput } from "./state.ts";
import { sendStop, StopReason, stopRun } from "./stop_run.ts";
import { listUnsentStarts } from "./unsent_starts.ts";
import { noteContact, noteContactLost } from "./suspects.ts";
import { settleCrashes } from "./settle_crashes.ts";
import { settleTrials } from "./trials.ts";
import {
  Admission,
  type AdmissionOutcome,
  type AdviceAnswer,
  type Endpoint,
  type EndpointInfo,
  type Order,
  type OrganisationRules,
  type PaceResult,
  type Run,
  type Stage,
  type StartOrder,
  type StartResult,
  type StopResult,
} from "./types.ts";
import type { JournalRecord } from "../journal/mod.ts";
import { makeEvacuationState } from "../evacuation/mod.ts";

/** Interval between retries of an unacknowledged stop order, in ms. */
const STOP_RETRY_MS = 300;

/** Job state as shown to its caller. */
export interface JobStatus {
  state: JobState;
}

/**
 * Decision logic of a cell's owner, without I/O. Methods change the state and
 * add to the output: records to commit and orders to carry out, which the host
 * takes with `collectOutput`.
 */
export class Cell {
  readonly state: CellState;
  readonly #retentionMs: number;

  /** `retentionMs`: how long ended jobs are kept. */
  constructor(
    options: {
      term: number;
      retentionMs: number;
      leaseMs: number;
      policies?: PolicyNames;
      /** Tasks that all jobs together may count while they are held. */
      maxHeldTasks?: number;
    },
  ) {
    this.#retentionMs = options.retentionMs;
    this.state = {
      leaseMs: options.leaseMs,
      term: options.term,
      jobs: new Map(),
      ended: new Map(),
      deferred: new Set(),
      heldTasks: 0,
      maxHeldTasks: options.maxHeldTasks ?? DEFAULT_HELD_TASKS,
      endpoints: new Map(),
      organisations: undefined,
      usage: new Map(),
      ready: new Set(),
      awaitingStartTime: new Set(),
      unlocated: new Map(),
      remnants: new Map(),
      unlocatedUntil: 0,
      formerStartsUntil: 0,
      restoredAt: 0,
      plannedAt: 0,
      suspects: new Map(),
      recentCrashes: [],
      crashesJudgedAt: Number.NEGATIVE_INFINITY,
      trialLimits: new Map(),
      stoppingRuns: new Set(),
      running: new RunningDemand(),
      shareMeter: new ShareMeter(),
      policies: buildPolicies(options.policies ?? DEFAULT_POLICIES),
      evacuation: makeEvacuationState(),
      placement: makePlacementMemory(),
      runTimes: buildRunTimes(options.policies ?? DEFAULT_POLICIES),
      adviceBacklogsMs: [0],
      adviceCounts: new Map(),
      adviceCursor: 0,
      backlogs: new Map(),
      admission: makeAdmissionState(),
      output: makeOutput(),
    };
  }

  /** Restores the state from the journal. */
  restore(
    contents: { snapshot?: CellSnapshot; records: JournalRecord[] },
    options: {
      /**
       * From this time on (steady clock), no run of a former owner is left, not
       * even on an endpoint that cannot be reached.
       */
      formerRunsEndAt: number;
      /** From this time on (steady clock), a former owner sends no starts. */
      formerStartsEndAt: number;
      time: CurrentTime;
    },
  ): void {
    this.state.unlocatedUntil = options.formerRunsEndAt;
    this.state.formerStartsUntil = options.formerStartsEndAt + LATE_ORDER_MS;
    this.state.restoredAt = options.time.wallNow;
    restoreCell(this.state, contents, options.time);
    this.state.output = makeOutput();
  }

  /** Exports the durable state. */
  collectSnapshot(): CellSnapshot {
    return collectSnapshot(this.state);
  }

  /** Returns the output of the decisions since the last call. */
  collectOutput(): CellOutput {
    const { output } = this.state;
    this.state.output = makeOutput();
    for (const [endpoint, placedRuns] of output.placements) {
      for (const runs of splitRuns(placedRuns)) {
        output.records.push({
          kind: RecordKind.Placed,
          endpoint,
          bornAt: this.state.endpoints.get(endpoint)?.bornAt ?? 0,
          at: this.state.plannedAt,
          runs,
        });
      }
    }
    return output;
  }

  /** Returns whether a job with this id was accepted, committed or not. */
  hasJob(id: string): boolean {
    return this.findOrganisation(id) !== undefined;
  }

  /**
   * Finds the organisation whose job with this id was accepted, committed or not;
   * undefined: there is none. Ids are unique among all organisations, since the names of
   * tasks at endpoints consist of them.
   */
  findOrganisation(id: string): string | undefined {
    const { jobs, ended } = this.state;
    return jobs.get(id)?.spec.organisation ?? ended.get(id)?.organisation;
  }

  /** Returns whether the work of a job's organisation is beyond its dominant share. */
  isBeyondShare({ organisation, queue }: JobSpec): boolean {
    return getJobRatio(this.state, { organisation, queue }) > 0;
  }

  /**
   * Accepts or refuses a job. Idempotent: the id identifies a repeated job of the same
   * organisation.
   */
  submit(spec: JobSpec, time: CurrentTime): AdmissionOutcome {
    const { state } = this;
    const holder = this.findOrganisation(spec.id);
    if (holder !== undefined) {
      return holder === spec.organisation
        ? {
          admission: Admission.Known,
          reason: "a job with this id was accepted before",
        }
        : {
          admission: Admission.IdTaken,
          reason: "another organisation has a job with this id",
        };
    }
    const error = findJobError(spec);
    if (error) return { admission: Admission.Refused, reason: error };
    const budgetReason = explainHeldTasks(state, spec);
    if (budgetReason) {
      return {
        admission: Admission.Refused,
        reason: budgetReason,
        retryAfterMs: MAX_RETRY_MS,
      };
    }
    const isOverShare = checkOverShare(state, spec, { now: time.now });
    const refused = state.admission.refused.find(spec.id, time.now);
    const outcome = admitJob(state, spec, { isOverShare, now: time.now });
    if (outcome.admission !== Admission.Accepted) return outcome;
    if (!isOverShare) addBacklog(state, spec);
    const job = buildJob(state, spec, {
      acceptedAt: time.wallNow,
      now: time.now,
      // Dominant shares are compared at each plan.
      isOverShare: isOverShare &&
        state.policies.names.shares === SharesName.Admission,
    });
    if (refused) setReturnDueTime(job, refused, { now: time.now });
    state.jobs.set(spec.id, job);
    state.output.records.push({
      kind: RecordKind.Accepted,
      job: spec,
      at: time.wallNow,
    });
    state.output.accepted.add(job);
    openStages(state, job, time);
    return { ...outcome, expectedMs: predictJob(state, spec, time) };
  }

  /**
   * Cancels a job; has no effect on an ended one. Returns false if the
   * organisation has no such job.
   */
  cancel(
    id: string,
    options: { organisation: string; time: CurrentTime },
  ): boolean {
    const { organisation, time } = options;
    const ended = this.state.ended.get(id);
    if (ended) return ended.organisation === organisation;
    const job = this.state.jobs.get(id);
    if (!job || job.spec.organisation !== organisation) return false;
    if (job.outcome) return true;
    this.state.output.records.push({
      kind: RecordKind.Cancelled,
      job: id,
      at: time.wallNow,
    });
    endJob(this.state, job, {
      outcome: JobState.Cancelled,
      now: time.now,
      reason: "cancelled by its caller",
    });
    return true;
  }

  /**
   * Finds the state of a job of this organisation; `undefined` until its
   * acceptance is committed.
   */
  findStatus(id: string, organisation: string): JobStatus | undefined {
    const ended = this.state.ended.get(id);
    if (ended) {
      return ended.organisation === organisation
        ? { state: ended.state }
        : undefined;
    }
    const job = this.state.jobs.get(id);
    if (!job?.isCommitted || job.spec.organisation !== organisation) {
      return undefined;
    }
    const state = job.hasStarted ? JobState.Running : JobState.Pending;
    return { state: job.reportedOutcome ?? state };
  }

  /**
   * Counts the jobs of a queue that have not started, recurring ones excluded.
   */
  countWaiting(queue: string): number {
    let waiting = 0;
    for (const job of this.state.jobs.values()) {
      if (job.spec.queue.name !== queue || job.outcome) continue;
      if (!job.hasStarted && job.spec.occurrences === 0) waiting++;
    }
    return waiting;
  }

  /**
   * Updates the endpoints from the platform's complete current list. `unconfirmed`:
   * ids of those whose records may be out of date; nothing starts there.
   */
  updateEndpoints(
    infos: readonly EndpointInfo[],
    options: { unconfirmed?: ReadonlySet<string> } = {},
  ): void {
    updateEndpoints(this.state, infos, options);
  }

  /** Replaces the rules of all organisations; nothing starts before that. */
  updateOrganisations(rules: readonly OrganisationRules[]): void {
    this.state.organisations = new Map(rules.map((rule) => [rule.name, rule]));
  }

  /** Applies an endpoint's listing. */
  applyListing(
    endpoint: Endpoint,
    options: ListingOptions,
  ): void {
    applyListing(this.state, endpoint, options);
    const { listing, times } = options;
    noteContact(endpoint, { listing, now: times.now });
    dropCrashCounts(this.state, endpoint);
  }

  /** Notes that a poll of an endpoint failed; see `noteContactLost`. */
  noteContactLost(
    endpoint: Endpoint,
    options: { now: number; isBroken: boolean },
  ): void {
    noteContactLost(endpoint, options);
  }

  /**
   * Lists the start orders among committed ones that may be sent; requeues the
   * tasks of the others. `mayStart`: whether the list of endpoints is current.
   */
  listStarts(
    orders: readonly Order[],
    time: CurrentTime,
    options: { mayStart: boolean },
  ): StartOrder[] {
    return listUnsentStarts(this.state, {
      orders,
      now: time.now,
      ...options,
    });
  }

  /** Applies the result of a start order. */
  applyStartAnswer(
    run: Run,
    options: { result: StartResult; time: CurrentTime },
  ): void {
    applyStartAnswer(this.state, run, options);
  }

  /** Applies the result of a stop order. */
  applyStopAnswer(
    run: Run,
    options: { result: StopResult; bornAt: number; now: number },
  ): void {
    applyStopAnswer(run, options);
  }

  /** Applies the result of a pace order. */
  applyPaceAnswer(
    run: Run,
    options: { result: PaceResult; percent: number },
  ): void {
    applyPaceAnswer(run, options);
  }

  /** Marks an endpoint as replaced: another one answers at its address. */
  noteReplacement(endpoint: Endpoint, time: CurrentTime): void {
    noteReplacement(this.state, endpoint, time);
  }

  /**
   * Cordons these endpoints, which get no new work, and uncordons all others.
   */
  setCordoned(ids: ReadonlySet<string>): void {
    for (const endpoint of this.state.endpoints.values()) {
      endpoint.isCordoned = ids.has(endpoint.info.id);
    }
  }

  /** Returns whether an endpoint certainly has no runs. */
  isEndpointEmpty(id: string): boolean {
    const { endpoints, unlocated } = this.state;
    for (const { task } of unlocated.values()) {
      if (task.placedOn === id) return false;
    }
    return (endpoints.get(id)?.runs.size ?? 0) === 0;
  }

  /** Stops the runs on an endpoint for upkeep, within the disruption budgets. */
  stopRunsOn(id: string, time: CurrentTime): void {
    const endpoint = this.state.endpoints.get(id);
    for (const run of [...endpoint?.runs.values() ?? []]) {
      const taskRef = findTask(this.state, run.task);
      if (taskRef && !canInterrupt(taskRef.stage, taskRef.task)) continue;
      stopRun(this.state, run, {
        now: time.now,
        reason: StopReason.Upkeep,
      });
    }
  }

  /** Sets the backlog of advice calls of each entry, in milliseconds. */
  setAdviceBacklogs(backlogsMs: readonly number[]): void {
    this.state.adviceBacklogsMs = [...backlogsMs];
  }

  /** Applies the policy service's answer for a stage. */
  applyAdvice(
    stage: Stage,
    options: {
      endpoints: readonly string[];
      answer: AdviceAnswer | undefined;
      now: number;
    },
  ): void {
    applyAdvice(this.state, stage, options);
  }

  /** Applies the effects of a committed output. */
  noteCommitted(output: CellOutput, wallNow: number): void {
    for (const job of output.accepted) job.isCommitted = true;
    for (const job of output.finished) finishJob(this.state, job, { wallNow });
    for (const [endpoint, lastEnd] of output.committedEnds) {
      if (endpoint.bornAt !== lastEnd.bornAt) continue;
      endpoint.committedEndNumber = Math.max(
        endpoint.committedEndNumber,
        lastEnd.end,
      );
    }
    for (const endpoint of output.recorded) endpoint.isRecorded = true;
  }

  /**
   * Handles expired leases, due retries and stages whose start time has come;
   * plans starts if `mayStart`.
   */
  plan(time: CurrentTime, options: { mayStart: boolean }): void {
    const { state } = this;
    state.plannedAt = time.wallNow;
    expireEndpoints(state, time);
    settleTrials(state);
    settleCrashes(state, time);
    const { mayStart } = options;
    settleUnansweredStarts(state, { now: time.now, mayStart });
    planLeaving(state, { now: time.now, mayStart });
    for (const run of state.stoppingRuns) {
      const isDue = time.now - run.lastChangedAt >= STOP_RETRY_MS;
      if (!run.isStopAcknowledged && isDue) sendStop(state, run);
    }
    for (const { job } of [...state.awaitingStartTime]) {
      openStages(state, job, time);
    }
    beginDeferredJobs(state, time);
    if (mayStart) planStarts(state, time.now);
    if (state.policies.names.admission === AdmissionName.Predicted) {
      state.backlogs = measureBacklogs(state);
    }
  }

  /** Drops ended jobs after the retention time. */
  dropEnded(wallNow: number): void {
    for (const [id, ended] of this.state.ended) {
      if (wallNow - ended.at < this.#retentionMs) return;
      this.state.ended.delete(id);
    }
  }
}
