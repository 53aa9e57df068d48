import { RecordKind } from "../journal/mod.ts";
import { findJobFault, type JobSpec, JobState } from "../jobs/mod.ts";
import { addBacklog, admitJob, measureBacklogs } from "./admission.ts";
import {
  applyAdvice,
  applyPaceAnswer,
  applyStartAnswer,
  applyStopAnswer,
  settleUnsure,
} from "./answers.ts";
import {
  expireEndpoints,
  noteReplacement,
  updateEndpoints,
} from "./endpoints.ts";
import { endJob, type Present, releaseRun } from "./ends.ts";
import { applyListing, type ListingTimes } from "./listing.ts";
import { planStarts } from "./plan.ts";
import {
  buildPolicies,
  DEFAULT_POLICIES,
  type PolicyNames,
} from "./policies.ts";
import { ShareMeter } from "./share_meter.ts";
import {
  type CellSnapshot,
  collectSnapshot,
  finishJob,
  restoreCell,
} from "./snapshot.ts";
import { canBeAway } from "./sharing.ts";
import { buildJob, findTask, openStages } from "./stages.ts";
import { type CellOutput, type CellState, makeOutput } from "./state.ts";
import { sendStop, stopRun } from "./stops.ts";
import {
  Admission,
  type AdmissionOutcome,
  type AdviceAnswer,
  type Endpoint,
  type EndpointInfo,
  type EndpointListing,
  type Order,
  OrderKind,
  type OrganisationRules,
  type PaceResult,
  type Run,
  RunPhase,
  type Stage,
  type StartOrder,
  type StartResult,
  type StopResult,
} from "./types.ts";
import type { JournalRecord } from "../journal/mod.ts";

/** Pause before an order to stop without an answer is sent again. */
const STOP_RETRY_MS = 300;

/** How the cell answers a question for a job. */
export interface JobStatus {
  state: JobState;
}

/**
 * All decisions of a cell's owner. Methods change the state and collect what
 * the host has to do; `collectOutput` hands it over.
 */
export class Cell {
  readonly state: CellState;
  readonly #retentionMs: number;

  /** `retentionMs`: how long ended jobs are remembered. */
  constructor(
    options: {
      term: number;
      retentionMs: number;
      leaseMs: number;
      policies?: PolicyNames;
    },
  ) {
    this.#retentionMs = options.retentionMs;
    this.state = {
      leaseMs: options.leaseMs,
      term: options.term,
      jobs: new Map(),
      ended: new Map(),
      endpoints: new Map(),
      organisations: new Map(),
      usage: new Map(),
      ready: new Set(),
      timed: new Set(),
      unlocated: new Map(),
      unlocatedUntil: 0,
      stopping: new Set(),
      share: new ShareMeter(),
      policies: buildPolicies(options.policies ?? DEFAULT_POLICIES),
      adviceLanes: [0],
      backlogs: new Map(),
      output: makeOutput(),
    };
  }

  /** Restores the journal; what may run elsewhere waits until `safeAt`. */
  restore(
    contents: { snapshot?: CellSnapshot; records: JournalRecord[] },
    options: { safeAt: number; present: Present },
  ): void {
    this.state.unlocatedUntil = options.safeAt;
    restoreCell(this.state, contents, options.present);
    this.state.output = makeOutput();
  }

  /** Exports all that must last. */
  collectSnapshot(): CellSnapshot {
    return collectSnapshot(this.state);
  }

  /** Hands over what the decisions since the last call led to. */
  collectOutput(): CellOutput {
    const { output } = this.state;
    this.state.output = makeOutput();
    for (const [endpoint, runs] of output.placements) {
      output.records.push({ kind: RecordKind.Placed, endpoint, runs });
    }
    return output;
  }

  /** Takes a job, or refuses it for good. */
  submit(spec: JobSpec, present: Present): AdmissionOutcome {
    const { state } = this;
    if (state.jobs.has(spec.id) || state.ended.has(spec.id)) {
      return { admission: Admission.Known, reason: "handed in before" };
    }
    const fault = findJobFault(spec);
    if (fault) return { admission: Admission.Refused, reason: fault };
    const rules = state.organisations.get(spec.organisation);
    const isOverShare = state.share.claimJob(spec.organisation, {
      jobsPerSecond: rules?.weight ?? 0,
      now: present.now,
    });
    const outcome = admitJob(state, spec, { isOverShare });
    if (outcome.admission !== Admission.Accepted) return outcome;
    if (!isOverShare) addBacklog(state, spec);
    const job = buildJob(state, spec, {
      acceptedAt: present.wallNow,
      now: present.now,
      isOverShare,
    });
    state.jobs.set(spec.id, job);
    state.output.records.push({
      kind: RecordKind.Accepted,
      job: spec,
      at: present.wallNow,
    });
    state.output.accepted.add(job);
    openStages(state, job, present);
    return outcome;
  }

  /** Cancels a job; false when there is none of this organisation. */
  cancel(
    id: string,
    options: { organisation: string; present: Present },
  ): boolean {
    const { organisation, present } = options;
    const ended = this.state.ended.get(id);
    if (ended) return ended.organisation === organisation;
    const job = this.state.jobs.get(id);
    if (!job || job.spec.organisation !== organisation) return false;
    if (job.outcome) return true;
    this.state.output.records.push({
      kind: RecordKind.Cancelled,
      job: id,
      at: present.wallNow,
    });
    endJob(this.state, job, {
      outcome: JobState.Cancelled,
      now: present.now,
      reason: "cancelled by its caller",
    });
    return true;
  }

  /** Returns what a caller is told of its job, or nothing. */
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
    return { state: job.shownOutcome ?? state };
  }

  /** Counts the jobs of a queue of which no task has started. */
  countWaiting(queue: string): number {
    let waiting = 0;
    for (const job of this.state.jobs.values()) {
      if (job.spec.queue.name !== queue || job.outcome) continue;
      if (!job.hasStarted && job.spec.occurrences === 0) waiting++;
    }
    return waiting;
  }

  /** Takes over the platform's list of endpoints. */
  updateEndpoints(infos: readonly EndpointInfo[]): void {
    updateEndpoints(this.state, infos);
  }

  /** Takes over the organisations of the newest configuration. */
  updateOrganisations(rules: readonly OrganisationRules[]): void {
    this.state.organisations = new Map(rules.map((each) => [each.name, each]));
  }

  /** Applies an endpoint's report of itself. */
  applyListing(
    endpoint: Endpoint,
    options: { listing: EndpointListing; times: ListingTimes },
  ): void {
    applyListing(this.state, endpoint, options);
  }

  /** Lists the starts of an output that are still wanted once it is stored. */
  listStarts(output: CellOutput, present: Present): StartOrder[] {
    const isWanted = (order: Order): order is StartOrder =>
      order.kind === OrderKind.Start &&
      order.run.phase === RunPhase.Starting &&
      order.run.endpoint.runs.get(order.run.task) === order.run;
    const wanted = output.orders.filter(isWanted);
    return wanted.filter((order) => {
      if (present.now < order.ticketEndsAt) return true;
      releaseRun(this.state, order.run, {
        now: present.now,
        isFault: false,
        reason: "the ticket ran out before the placement was stored",
      });
      return false;
    });
  }

  /** Applies the answer to an order to start. */
  applyStartAnswer(
    run: Run,
    options: { result: StartResult; present: Present },
  ): void {
    applyStartAnswer(this.state, run, options);
  }

  /** Applies the answer to an order to stop. */
  applyStopAnswer(
    run: Run,
    options: { result: StopResult; now: number },
  ): void {
    applyStopAnswer(run, options);
  }

  /** Applies the answer to a change of pace. */
  applyPaceAnswer(
    run: Run,
    options: { result: PaceResult; percent: number },
  ): void {
    applyPaceAnswer(run, options);
  }

  /** Another endpoint answers at the address of one. */
  noteReplacement(endpoint: Endpoint, present: Present): void {
    noteReplacement(this.state, endpoint, present);
  }

  /** Gives these endpoints no new work, for they go down; others get it again. */
  setClosing(ids: ReadonlySet<string>): void {
    for (const endpoint of this.state.endpoints.values()) {
      endpoint.isClosing = ids.has(endpoint.info.id);
    }
  }

  /** Tells whether an endpoint certainly runs nothing. */
  isEndpointEmpty(id: string): boolean {
    const { endpoints, unlocated } = this.state;
    for (const { task } of unlocated.values()) {
      if (task.placedOn === id) return false;
    }
    return (endpoints.get(id)?.runs.size ?? 0) === 0;
  }

  /** Stops what runs on an endpoint, as far as it may be away. */
  stopRunsOn(id: string, present: Present): void {
    const endpoint = this.state.endpoints.get(id);
    for (const run of [...endpoint?.runs.values() ?? []]) {
      const place = findTask(this.state, run.task);
      if (place && !canBeAway(place.stage, place.task)) continue;
      stopRun(this.state, run, present);
    }
  }

  /** Takes over how long each entry that asks for advice is busy, in ms. */
  setAdviceLanes(lanes: readonly number[]): void {
    this.state.adviceLanes = [...lanes];
  }

  /** Applies the policy's answer for a stage. */
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

  /** Notes that the store holds what an output asked to be recorded. */
  noteCommitted(output: CellOutput, wallNow: number): void {
    for (const job of output.accepted) job.isCommitted = true;
    for (const job of output.finished) finishJob(this.state, job, { wallNow });
    for (const [endpoint, mark] of output.marks) {
      if (endpoint.bornAt !== mark.bornAt) continue;
      endpoint.committedEnd = Math.max(endpoint.committedEnd, mark.end);
    }
    for (const endpoint of output.recorded) endpoint.isRecorded = true;
  }

  /** Does what has come due, and plans starts. */
  plan(present: Present, options: { mayStart: boolean }): void {
    const { state } = this;
    expireEndpoints(state, present);
    settleUnsure(state, present.now);
    for (const run of state.stopping) {
      const isDue = present.now - run.settledAt >= STOP_RETRY_MS;
      if (!run.isStopAcknowledged && isDue) sendStop(state, run);
    }
    for (const { job } of [...state.timed]) {
      openStages(state, job, present);
    }
    if (options.mayStart) planStarts(state, present.now);
    state.backlogs = measureBacklogs(state);
  }

  /** Forgets jobs that ended long ago. */
  dropEnded(wallNow: number): void {
    for (const [id, ended] of this.state.ended) {
      if (wallNow - ended.at < this.#retentionMs) return;
      this.state.ended.delete(id);
    }
  }
}
