import type { Clock } from "../base/mod.ts";
import {
  Admission,
  Cell,
  type CellSnapshot,
  CLOCK_DRIFT,
  type CurrentTime,
  describeEvacuations,
  type Endpoint,
  type EndpointInfo,
  findLeaseEnd,
  LEASE_MARGIN_MS,
  OwnerFence,
  type PolicyNames,
  type WaitReport,
} from "../cell/mod.ts";
import type { EvacuationReport } from "../evacuation/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import { type JobSpec, JobState } from "../jobs/mod.ts";
import { Journal, JournalHost, readJournal } from "../journal/mod.ts";
import { CancelReply, type Link, type SubmitReply } from "../links/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { KeyValueStore } from "../storage/mod.ts";
import { AdvicePool } from "./advice_pool.ts";
import { explainHandover } from "./claim_rules.ts";
import {
  JOURNAL_PAGE_TIMEOUT_MS,
  MAX_DRAIN_MS,
  MAX_PLACEMENT_AGE_MS,
  NO_OWNER_RETRY_MS,
  ORDER_TIMEOUT_MS,
  OWNER_GRACE_MS,
  OWNER_KEY,
  PLAN_INTERVAL_MS,
  STORE_RETRY_MS,
  UNRESPONSIVE_AFTER_MS,
  UNRESPONSIVE_PAUSE_MS,
} from "./constants.ts";
import type { Ownership } from "./election.ts";
import { EndpointFeed } from "./endpoint_feed.ts";
import { EvacuationRole } from "./evacuation_role.ts";
import type { PollFailure, SessionHost } from "./endpoint_session.ts";
import { IsolationCheck } from "./isolation_check.ts";
import { OrderSender } from "./order_sender.ts";
import { LoadKind } from "./owner_load.ts";
import { OwnerPace } from "./owner_pace.ts";
import { PlanLoop } from "./plan_loop.ts";
import {
  type AdviceService,
  type EndpointControl,
  type EndpointVms,
  type PollAnswer,
  PollResult,
  type SiteRecords,
} from "./ports.ts";
import { setCalibrationGauges } from "./run_time_metrics.ts";
import { SessionPool } from "./session_pool.ts";
import { StartPacer } from "./start_pacer.ts";
import type { SiteConfig } from "./types.ts";
import { UpkeepRole } from "./upkeep_role.ts";

/** The dependencies and settings of an `OwnerRole`. */
export interface OwnerRoleParts {
  store: KeyValueStore;
  records: SiteRecords;
  control: EndpointControl;
  advice: AdviceService;
  vms?: EndpointVms;
  /** Time for which a new owner sends no orders to VMs, in milliseconds. */
  takeOverPauseMs: number;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  policies: PolicyNames;
  /** Tasks that all jobs together may count while they are held. */
  maxHeldTasks?: number;
  /** Duration of a task's lease, in milliseconds. */
  leaseMs: number;
  /**
   * Time after which every start has to respect what an endpoint's record shows, in
   * milliseconds.
   */
  endpointRecordsMs: number;
  /**
   * Time after which nothing is started in a failure domain whose evacuation was
   * requested, in milliseconds; absent: evacuations are not offered.
   */
  evacuationMs?: number;
  /** Returns when a call to the store failed last, by the steady clock in ms. */
  getStoreFailedAt: () => number;
  /** How long the result of an ended job is kept, in milliseconds. */
  retentionMs: number;
  /** Lists the open links to other entries. */
  listLinks: () => Link[];
  /**
   * Lists entries whose link timed out recently, after the time `since` in milliseconds,
   * and that have no link now.
   */
  listUnresponsive: (since: number) => string[];
  /** Called when more entries reach the store without this one than with it. */
  onIsolated: (reason: string) => void;
  /** Processor speed of this VM, in cores. */
  cores: number;
  /** Returns the speed of the largest VM linked to this entry, in cores. */
  getLargestPeerCores: () => number;
  /** Called when the cell is restored and callers can be served. */
  onReady: () => void;
  /** Called when another entry should own the cell. */
  onHandover: (reason: string) => void;
  getConfig: () => SiteConfig | undefined;
  /** Called when the ownership is lost, for example to a newer owner. */
  onDeposed: (reason: string) => void;
}

/**
 * Runs the cell while this entry owns it: restores the journal, keeps the view
 * of the endpoints current, and carries out the decisions of `Cell`.
 */
export class OwnerRole extends JournalHost implements SessionHost {
  readonly ownership: Ownership;
  readonly cell: Cell;
  readonly advice: AdvicePool;
  readonly #parts: OwnerRoleParts;
  readonly #fence: OwnerFence;
  readonly #sessions: SessionPool;
  readonly #endpointFeed: EndpointFeed;
  readonly #orderSender: OrderSender;
  readonly #startPacer: StartPacer;
  readonly #planLoop: PlanLoop;
  readonly #isolationCheck: IsolationCheck;
  readonly #upkeepRole: UpkeepRole | undefined;
  readonly #evacuationRole: EvacuationRole | undefined;
  #journal: Journal | undefined;
  readonly #pace: OwnerPace;
  #readySince: number | undefined;
  #isClosing = false;
  #isStopped = false;
  #cancelTick: () => void = () => {};

  constructor(ownership: Ownership, parts: OwnerRoleParts) {
    super();
    this.ownership = ownership;
    this.#parts = parts;
    this.#fence = new OwnerFence(ownership.revision);
    const { store, records, clock, log, listLinks } = parts;
    ownership.confirmation.onSuspended = () =>
      log.record(EventCode.LoopPaused, { wasSuspended: true });
    this.cell = new Cell({
      term: ownership.record.term,
      retentionMs: parts.retentionMs,
      leaseMs: parts.leaseMs,
      policies: parts.policies,
      maxHeldTasks: parts.maxHeldTasks,
    });
    this.#pace = new OwnerPace({ ...parts, cell: this.cell });
    this.advice = new AdvicePool({ service: parts.advice, listLinks });
    this.#endpointFeed = new EndpointFeed({
      store,
      records,
      clock,
      log,
      metrics: parts.metrics,
      // A start that is sent in time also has to arrive in time.
      maxAgeMs: parts.endpointRecordsMs - ORDER_TIMEOUT_MS,
      getStoreFailedAt: parts.getStoreFailedAt,
      onChanged: (endpoints, unconfirmed) =>
        this.#updateEndpoints(endpoints, unconfirmed),
    });
    this.#isolationCheck = new IsolationCheck({
      ...parts,
      ownership,
      listLinked: () => listLinks().map(({ peer }) => peer),
    });
    this.#sessions = new SessionPool({
      control: parts.control,
      clock,
      host: this,
      fence: this.#fence,
      leaseMs: parts.leaseMs,
    });
    this.#upkeepRole = parts.vms && new UpkeepRole({
      ownership,
      cell: this.cell,
      store,
      records,
      vms: parts.vms,
      clock,
      log,
      takeOverPauseMs: parts.takeOverPauseMs,
      onChanged: () => this.#planLoop.schedulePlan(),
      onDeposed: (reason) => this.endOwnership(reason),
    });
    this.#evacuationRole = parts.evacuationMs === undefined
      ? undefined
      : new EvacuationRole({
        ...parts,
        evacuationMs: parts.evacuationMs,
        cell: this.cell,
        onChanged: () => this.#planLoop.schedulePlan(),
      });
    this.#orderSender = new OrderSender({
      cell: this.cell,
      control: parts.control,
      advicePool: this.advice,
      clock,
      log,
      metrics: parts.metrics,
      fence: this.#fence,
      leaseMs: parts.leaseMs,
      load: this.#pace.load,
      mayOrder: (now) => this.mayOrder(now),
      onDeposed: (reason) => this.endOwnership(reason),
      onAnswered: () => this.#planLoop.schedulePlan(),
    });
    this.#startPacer = new StartPacer((order) =>
      this.#orderSender.start(order)
    );
    this.#planLoop = new PlanLoop({
      startPacer: this.#startPacer,
      cell: this.cell,
      advice: this.advice,
      orderSender: this.#orderSender,
      sessions: this.#sessions,
      clock,
      log,
      metrics: parts.metrics,
      load: this.#pace.load,
      mayOrder: (now) => this.mayOrder(now),
      hasCurrentRecords: (time) =>
        this.#endpointFeed.checkAge(time) &&
        this.#evacuationRole?.checkAge(time) !== false,
    });
  }

  /** Logs a failed read of the journal; returns whether to read again. */
  async #waitAfterFailedRead(error: unknown): Promise<boolean> {
    this.#parts.log.record(EventCode.StoreUnavailable, {
      reader: "journal",
      reason: String(error),
    });
    await this.#parts.clock.sleep(STORE_RETRY_MS);
    return !this.#isStopped;
  }

  /** What waited at the last report of the load, for a dump. */
  get waits(): WaitReport | undefined {
    return this.#pace.load.waits;
  }

  /** Describes the upkeep waves for a dump. */
  describeUpkeep(): unknown {
    return this.#upkeepRole?.describe();
  }

  /** Describes the evacuations of failure domains, with the runs still there. */
  describeEvacuations(): EvacuationReport[] {
    return describeEvacuations(this.cell.state, this.#parts.clock.now());
  }

  /**
   * True from the end of the restore until the role begins to stop, while callers are not
   * better served by other entries.
   */
  get isReady(): boolean {
    return this.#journal !== undefined && !this.#isClosing &&
      !this.#isolationCheck.isCutOff;
  }

  /**
   * Restores the cell from the journal, with retries until that succeeds, and
   * runs it.
   */
  async start(): Promise<void> {
    const { store, clock, log } = this.#parts;
    const startedAt = clock.now();
    while (!this.#isStopped && !this.#journal) {
      try {
        const contents = await readJournal<CellSnapshot>(store, {
          timeoutMs: JOURNAL_PAGE_TIMEOUT_MS,
          onFailure: (error) => this.#waitAfterFailedRead(error),
        });
        if (this.#isStopped) return;
        if (contents.damage) {
          log.record(EventCode.SnapshotDamaged, { reason: contents.damage });
        }
        this.cell.restore(contents, {
          formerRunsEndAt: startedAt + this.#computeTakeOverWait(),
          formerStartsEndAt: startedAt + MAX_PLACEMENT_AGE_MS,
          time: this.#getCurrentTime(),
        });
        this.#journal = new Journal({
          store,
          clock,
          host: this,
          claim: { key: OWNER_KEY, revision: this.ownership.revision },
          ...contents,
        });
        this.#planLoop.start(this.#journal);
        this.#readySince = clock.now();
        log.record(EventCode.OwnerRestored, {
          term: this.ownership.record.term,
          jobs: this.cell.state.jobs.size,
          segments: contents.lastSegment - contents.snapshotSegment,
          elapsedMs: Math.round(clock.now() - startedAt),
        });
      } catch (error) {
        await this.#waitAfterFailedRead(error);
      }
    }
    if (this.#isStopped) return;
    this.#parts.onReady();
    this.updateConfig(this.#parts.getConfig());
    void this.#endpointFeed.run();
    void this.#upkeepRole?.run();
    void this.#evacuationRole?.run();
    this.#scheduleTick();
    this.#planLoop.schedulePlan();
  }

  /**
   * Stops the role. With `isPlanned`, accepts nothing more, plans once more, waits until
   * the journal has committed the pending decisions, and sends the starts among them.
   */
  async stop(options: { isPlanned: boolean }): Promise<void> {
    if (this.#isStopped) return;
    if (options.isPlanned && !this.#isClosing) {
      this.#isClosing = true;
      this.#planLoop.planNow();
      this.#planLoop.stopPlanning();
      await Promise.race([
        this.#journal?.drain(),
        this.#parts.clock.sleep(MAX_DRAIN_MS),
      ]);
      this.#startPacer.sendWaiting();
    }
    this.#isClosing = true;
    this.#isStopped = true;
    this.#planLoop.stop();
    this.#cancelTick();
    this.#isolationCheck.stop();
    this.#endpointFeed.stop();
    this.#upkeepRole?.stop();
    this.#evacuationRole?.stop();
    this.#journal?.close();
    this.#sessions.stop();
  }

  /** Applies a new version of the configuration. */
  updateConfig(config: SiteConfig | undefined): void {
    if (config) this.cell.updateOrganisations(config.organisations);
  }

  /** Submits a job; reports it as accepted only once the store holds it. */
  async submit(job: JobSpec): Promise<SubmitReply> {
    if (!this.isReady) return this.#refuseNotReady();
    const now = this.#parts.clock.now();
    // A known job was accepted before, so the answer must not say that it never
    // runs, whatever the state of the store.
    const isKnown = this.cell.hasJob(job.id);
    if (isKnown && this.find(job.id, job.organisation)) {
      return { admission: Admission.Known, reason: "accepted before" };
    }
    if (!isKnown && this.#planLoop.isStoreStalled(now)) {
      return {
        admission: Admission.StoreStalled,
        reason: "the store does not answer",
        retryAfterMs: NO_OWNER_RETRY_MS,
      };
    }
    const refusal = isKnown ? undefined : this.#pace.refuseIfLate(job, now);
    if (refusal) return refusal;
    const outcome = this.cell.submit(job, this.#getCurrentTime());
    this.#pace.load.note(LoadKind.Submission, this.#parts.clock.now() - now);
    const isRefused = outcome.admission === Admission.Refused ||
      outcome.admission === Admission.IdTaken;
    if (isRefused) return outcome;
    const isCommitted = await this.#planLoop.commitNow();
    if (!isCommitted) return { isUnknown: true };
    return outcome;
  }

  /** Cancels a job; confirms it only once the store holds the cancellation. */
  async cancel(id: string, organisation: string): Promise<CancelReply> {
    if (!this.isReady) return CancelReply.Unknown;
    const time = this.#getCurrentTime();
    const isKnown = this.cell.cancel(id, { organisation, time });
    if (!isKnown) return CancelReply.NoSuchJob;
    return await this.#planLoop.commitNow()
      ? CancelReply.Cancelled
      : CancelReply.Unknown;
  }

  /** Finds the state of an organisation's job; `undefined` if there is none. */
  find(id: string, organisation: string): { state: JobState } | undefined {
    return this.cell.findStatus(id, organisation);
  }

  /**
   * Returns whether orders may be sent: the role is not stopped, and the store
   * has confirmed the owner's lease in the last `OWNER_GRACE_MS`.
   */
  mayOrder(now: number): boolean {
    const time = { now, wallNow: this.#parts.clock.readWallTime() };
    const ageMs = this.ownership.confirmation.measureAge(time);
    return !this.#isStopped && ageMs < OWNER_GRACE_MS;
  }

  /** Returns the shortest time between two polls of one endpoint, in milliseconds. */
  getPollInterval(): number {
    return this.#pace.pollIntervalMs;
  }

  /** Applies an endpoint's answer to a poll. */
  handlePollAnswer(
    endpoint: Endpoint,
    { answer, askedAt, fence }: {
      answer: PollAnswer;
      askedAt: number;
      fence: number;
    },
  ): void {
    if (this.#isClosing) return;
    if (answer.kind === PollResult.Replaced) {
      this.cell.noteReplacement(endpoint, this.#getCurrentTime());
      return this.#planLoop.schedulePlan();
    }
    if (answer.kind !== PollResult.Listed) {
      return this.endOwnership(`${endpoint.info.id} serves a newer owner`);
    }
    const times = { ...this.#getCurrentTime(), askedAt };
    const { listing } = answer;
    this.cell.applyListing(endpoint, { listing, fence, times });
    this.#pace.load.note(
      LoadKind.Listing,
      this.#parts.clock.now() - times.now,
    );
    this.#planLoop.schedulePlan();
  }

  /**
   * Logs a failed poll; pauses starts on the endpoint if the poll took longer
   * than `UNRESPONSIVE_AFTER_MS`.
   */
  handlePollFailure(
    endpoint: Endpoint,
    { error, elapsedMs, isBroken }: PollFailure,
  ): void {
    const { clock, log } = this.#parts;
    this.#pace.load.note(LoadKind.PollUnanswered, elapsedMs);
    this.cell.noteContactLost(endpoint, { now: clock.now(), isBroken });
    if (elapsedMs > UNRESPONSIVE_AFTER_MS) {
      endpoint.unresponsiveUntil = clock.now() + UNRESPONSIVE_PAUSE_MS;
    }
    log.record(EventCode.EndpointUnreachable, {
      endpoint: endpoint.info.id,
      reason: String(error),
      leaseLeftMs: Math.round(findLeaseEnd(endpoint) - clock.now()),
    });
  }

  override collectSnapshot(): CellSnapshot {
    return this.cell.collectSnapshot();
  }

  override endOwnership(reason: string): void {
    if (!this.#isStopped) this.#parts.onDeposed(reason);
  }

  override noteCommitFailure(error: unknown): void {
    this.#parts.log.record(EventCode.CommitFailed, { reason: String(error) });
  }

  override noteCommitted(revision: number): void {
    this.#fence.noteCommit(revision);
  }

  override noteCommitSuccess(elapsedMs: number, recordCount: number): void {
    this.#parts.metrics.observeDuration("commit", elapsedMs, {});
    this.#pace.load.note(LoadKind.Commit, elapsedMs);
    if (recordCount > 0) this.#parts.metrics.countEvent("commits");
  }

  /**
   * Computes how long a task of the former owner may still run on an endpoint
   * that this owner cannot reach, in milliseconds.
   */
  #computeTakeOverWait(): number {
    return OWNER_GRACE_MS + this.#parts.leaseMs * (1 + CLOCK_DRIFT) +
      LEASE_MARGIN_MS;
  }

  #getCurrentTime(): CurrentTime {
    const { clock } = this.#parts;
    return { now: clock.now(), wallNow: clock.readWallTime() };
  }

  #refuseNotReady(): SubmitReply {
    return {
      admission: Admission.NotOwner,
      reason: "the owner is not ready",
      retryAfterMs: NO_OWNER_RETRY_MS,
    };
  }

  #updateEndpoints(
    infos: EndpointInfo[],
    unconfirmed: ReadonlySet<string>,
  ): void {
    this.cell.updateEndpoints(infos, { unconfirmed });
    this.#planLoop.schedulePlan();
  }

  /** Hands the cell over if another entry would carry it better. */
  #checkHandover(now: number): void {
    const reason = explainHandover({
      cores: this.#parts.cores,
      largestPeerCores: this.#parts.getLargestPeerCores(),
      readySince: this.#readySince,
      isOverloaded: this.#pace.isOverloaded,
    }, now);
    if (reason) this.#parts.onHandover(reason);
  }

  #scheduleTick(): void {
    this.#cancelTick = this.#parts.clock.schedule(() => {
      if (this.#isClosing) return;
      const now = this.#parts.clock.now();
      this.#pace.noteTick(now);
      setCalibrationGauges(this.#parts.metrics, this.cell);
      this.#checkHandover(now);
      this.#planLoop.planIfIdle();
      this.#evacuationRole?.updateReports();
      this.cell.dropEnded(this.#parts.clock.readWallTime());
      this.#isolationCheck.step(this.#getCurrentTime());
      this.#scheduleTick();
    }, PLAN_INTERVAL_MS);
  }
}
