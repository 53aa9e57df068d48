import type { Clock } from "../base/mod.ts";
import {
  Admission,
  Cell,
  type CellSnapshot,
  CLOCK_DRIFT,
  type Endpoint,
  type EndpointInfo,
  LEASE_MARGIN_MS,
  type PolicyNames,
  type Present,
} from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import { type JobSpec, JobState } from "../jobs/mod.ts";
import { Journal, JournalHost, readJournal } from "../journal/mod.ts";
import { CancelReply, type Link, type SubmitReply } from "../links/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { KeyValueStore } from "../storage/mod.ts";
import { AdvicePool } from "./advice_pool.ts";
import {
  NO_OWNER_RETRY_MS,
  OWNER_GRACE_MS,
  OWNER_KEY,
  SILENCE_MS,
  SILENT_PAUSE_MS,
  STORE_RETRY_MS,
  TICK_MS,
} from "./constants.ts";
import type { Ownership } from "./election.ts";
import { EndpointFeed } from "./endpoint_feed.ts";
import type { SessionHost } from "./endpoint_session.ts";
import { OrderSender } from "./order_sender.ts";
import { PlanLoop } from "./plan_loop.ts";
import {
  type AdviceService,
  type EndpointControl,
  type EndpointVms,
  type HoldAnswer,
  HoldResult,
  type SiteRecords,
} from "./ports.ts";
import { SessionPool } from "./session_pool.ts";
import { SuspensionGuard } from "./suspension_guard.ts";
import type { SiteConfig } from "./types.ts";
import { UpkeepRole } from "./upkeep_role.ts";

/** What an owner needs from its entry. */
export interface OwnerParts {
  store: KeyValueStore;
  records: SiteRecords;
  control: EndpointControl;
  advice: AdviceService;
  vms?: EndpointVms;
  /** A new owner gives VMs no orders for this long, in milliseconds. */
  takeOverPauseMs: number;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  policies: PolicyNames;
  /** Longest lease of a task, in milliseconds. */
  leaseMs: number;
  /** How long ended jobs are remembered, in milliseconds. */
  retentionMs: number;
  listLinks: () => Link[];
  /** Entries that were linked, fell silent and have not come back. */
  listSilent: () => string[];
  /** Gives the cell up to an entry that reaches more of the others. */
  onIsolated: (reason: string) => void;
  getConfig: () => SiteConfig | undefined;
  /** Another owner was seen. */
  onDeposed: (reason: string) => void;
}

/** The cell's owner: carries out what `Cell` decides. */
export class OwnerRole extends JournalHost implements SessionHost {
  readonly ownership: Ownership;
  readonly cell: Cell;
  readonly advice: AdvicePool;
  readonly #parts: OwnerParts;
  readonly #sessions: SessionPool;
  readonly #feed: EndpointFeed;
  readonly #sender: OrderSender;
  readonly #plans: PlanLoop;
  readonly #upkeep: UpkeepRole | undefined;
  readonly #suspension = new SuspensionGuard();
  #journal: Journal | undefined;
  #isStopped = false;
  #cancelTick: () => void = () => {};

  constructor(ownership: Ownership, parts: OwnerParts) {
    super();
    this.ownership = ownership;
    this.#parts = parts;
    const { store, records, clock, log, listLinks } = parts;
    this.cell = new Cell({
      term: ownership.record.term,
      retentionMs: parts.retentionMs,
      leaseMs: parts.leaseMs,
      policies: parts.policies,
    });
    this.advice = new AdvicePool({ service: parts.advice, listLinks });
    this.#feed = new EndpointFeed({
      store,
      records,
      clock,
      log,
      onChanged: (endpoints) => this.#updateEndpoints(endpoints),
    });
    this.#sessions = new SessionPool({
      control: parts.control,
      clock,
      host: this,
      fence: ownership.revision,
      leaseMs: parts.leaseMs,
    });
    this.#upkeep = parts.vms && new UpkeepRole({
      ownership,
      cell: this.cell,
      store,
      records,
      vms: parts.vms,
      clock,
      log,
      takeOverPauseMs: parts.takeOverPauseMs,
      onChanged: () => this.#plans.schedulePlan(),
      onDeposed: (reason) => this.endOwnership(reason),
    });
    this.#sender = new OrderSender({
      cell: this.cell,
      control: parts.control,
      pool: this.advice,
      clock,
      log,
      metrics: parts.metrics,
      fence: ownership.revision,
      leaseMs: parts.leaseMs,
      mayOrder: (now) => this.mayOrder(now),
      onDeposed: (reason) => this.endOwnership(reason),
      onAnswered: () => this.#plans.schedulePlan(),
    });
    this.#plans = new PlanLoop({
      cell: this.cell,
      advice: this.advice,
      sender: this.#sender,
      sessions: this.#sessions,
      clock,
      log,
      metrics: parts.metrics,
      mayOrder: (now) => this.mayOrder(now),
    });
  }

  /** Describes the waves of upkeep, for a dump. */
  describeUpkeep(): unknown {
    return this.#upkeep?.describe();
  }

  /** True once the jobs are restored. */
  get isReady(): boolean {
    return this.#journal !== undefined && !this.#isStopped;
  }

  /** Restores the cell and runs it. */
  async start(): Promise<void> {
    const { store, clock, log } = this.#parts;
    const startedAt = clock.now();
    while (!this.#isStopped && !this.#journal) {
      try {
        const contents = await readJournal<CellSnapshot>(store);
        if (this.#isStopped) return;
        this.cell.restore(contents, {
          safeAt: startedAt + this.#computeDoubt(),
          present: this.#getPresent(),
        });
        this.#journal = new Journal({
          store,
          clock,
          host: this,
          claim: { key: OWNER_KEY, revision: this.ownership.revision },
          ...contents,
        });
        this.#plans.start(this.#journal);
        log.record(EventCode.OwnerRestored, {
          term: this.ownership.record.term,
          jobs: this.cell.state.jobs.size,
          segments: contents.lastSegment - contents.snapshotSegment,
          elapsedMs: Math.round(clock.now() - startedAt),
        });
      } catch (error) {
        log.record(EventCode.StoreUnavailable, {
          reader: "journal",
          reason: String(error),
        });
        await clock.sleep(STORE_RETRY_MS);
      }
    }
    if (this.#isStopped) return;
    this.updateConfig(this.#parts.getConfig());
    void this.#feed.run();
    void this.#upkeep?.run();
    this.#scheduleTick();
    this.#plans.schedulePlan();
  }

  /** Stops at once; with `isPlanned`, what is decided is stored first. */
  async stop(options: { isPlanned: boolean }): Promise<void> {
    if (this.#isStopped) return;
    if (options.isPlanned) {
      this.#plans.planNow();
      await this.#journal?.drain();
    }
    this.#isStopped = true;
    this.#plans.stop();
    this.#cancelTick();
    this.#feed.stop();
    this.#upkeep?.stop();
    this.#journal?.close();
    this.#sessions.stop();
  }

  /** Takes over a new version of the configuration. */
  updateConfig(config: SiteConfig | undefined): void {
    if (config) this.cell.updateOrganisations(config.organisations);
  }

  /** Takes a job, and answers once the store holds it. */
  async submit(job: JobSpec): Promise<SubmitReply> {
    if (!this.isReady) return this.#refuseAsOther();
    const now = this.#parts.clock.now();
    if (this.#plans.isStoreSilent(now)) {
      return {
        admission: Admission.NotOwner,
        reason: "the store does not answer",
        retryAfterMs: NO_OWNER_RETRY_MS,
      };
    }
    const outcome = this.cell.submit(job, this.#getPresent());
    if (outcome.admission === Admission.Refused) return outcome;
    const isCommitted = await this.#plans.commitNow();
    if (!isCommitted) return { isUnknown: true };
    return outcome;
  }

  /** Cancels a job, and answers once that lasts. */
  async cancel(id: string, organisation: string): Promise<CancelReply> {
    if (!this.isReady) return CancelReply.Unknown;
    const present = this.#getPresent();
    const isKnown = this.cell.cancel(id, { organisation, present });
    if (!isKnown) return CancelReply.NoSuchJob;
    return await this.#plans.commitNow()
      ? CancelReply.Cancelled
      : CancelReply.Unknown;
  }

  /** Returns the state of a job; `undefined` when there is none. */
  find(id: string, organisation: string): { state: JobState } | undefined {
    return this.cell.findStatus(id, organisation);
  }

  /** False when another owner may have been elected long ago. */
  mayOrder(now: number): boolean {
    const present = { now, wallNow: Date.now() };
    if (this.#suspension.checkSuspension(present)) {
      // The lease may have ended meanwhile: the next renewal tells.
      this.ownership.confirmedAt = Number.NEGATIVE_INFINITY;
      this.#parts.log.record(EventCode.LoopPaused, { wasSuspended: true });
    }
    return !this.#isStopped &&
      now - this.ownership.confirmedAt < OWNER_GRACE_MS;
  }

  /** Applies an endpoint's lists. */
  noteHold(
    endpoint: Endpoint,
    { answer, askedAt }: { answer: HoldAnswer; askedAt: number },
  ): void {
    if (this.#isStopped) return;
    if (answer.kind === HoldResult.Replaced) {
      this.cell.noteReplacement(endpoint, this.#getPresent());
      return this.#plans.schedulePlan();
    }
    if (answer.kind !== HoldResult.Listed) {
      return this.endOwnership(`${endpoint.info.id} serves a newer owner`);
    }
    this.cell.applyListing(endpoint, {
      listing: answer.listing,
      times: { ...this.#getPresent(), askedAt },
    });
    this.#plans.schedulePlan();
  }

  /** Notes that an endpoint did not answer. */
  noteSilence(
    endpoint: Endpoint,
    { error, elapsedMs }: { error: unknown; elapsedMs: number },
  ): void {
    const { clock, log } = this.#parts;
    if (elapsedMs > SILENCE_MS) {
      endpoint.silentUntil = clock.now() + SILENT_PAUSE_MS;
    }
    log.record(EventCode.EndpointUnreachable, {
      endpoint: endpoint.info.id,
      reason: String(error),
      leaseLeftMs: Math.round(endpoint.leaseEndsAt - clock.now()),
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

  override noteCommitSuccess(elapsedMs: number, records: number): void {
    this.#parts.metrics.observeDuration("commit", elapsedMs, {});
    if (records > 0) this.#parts.metrics.countEvent("commits");
  }

  /** How long a former owner's tasks may run where they can't be seen. */
  #computeDoubt(): number {
    return OWNER_GRACE_MS + this.#parts.leaseMs * (1 + CLOCK_DRIFT) +
      LEASE_MARGIN_MS;
  }

  #getPresent(): Present {
    return { now: this.#parts.clock.now(), wallNow: Date.now() };
  }

  #refuseAsOther(): SubmitReply {
    return {
      admission: Admission.NotOwner,
      reason: "the owner is not ready",
      retryAfterMs: NO_OWNER_RETRY_MS,
    };
  }

  #updateEndpoints(infos: EndpointInfo[]): void {
    this.cell.updateEndpoints(infos);
    this.#plans.schedulePlan();
  }

  /** An owner that most entries can't reach serves few: another should. */
  #checkIsolation(): void {
    const silent = this.#parts.listSilent().length;
    const reached = this.#parts.listLinks().length + 1;
    if (silent <= reached) return;
    this.#parts.onIsolated(`reaches ${reached}, cut off from ${silent}`);
  }

  #scheduleTick(): void {
    this.#cancelTick = this.#parts.clock.schedule(() => {
      if (this.#isStopped) return;
      this.#plans.planIfIdle();
      this.cell.dropEnded(Date.now());
      this.#checkIsolation();
      this.#scheduleTick();
    }, TICK_MS);
  }
}
