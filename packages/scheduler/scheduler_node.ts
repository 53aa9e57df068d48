import type { Clock, Random } from "../base/mod.ts";
import {
  Admission,
  AdmissionName,
  describeAdmission,
  describeLeaving,
  describePlacement,
  describeTrials,
} from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  CancelReply,
  LINK_TIMEOUT_MS,
  type LinkHandlers,
  LinkServer,
} from "../links/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { SchedulerSettings } from "../settings/mod.ts";
import type { KeyValueStore } from "../storage/mod.ts";
import { CallLimit } from "./call_limit.ts";
import { CallerService } from "./caller_service.ts";
import { ConfigFeed } from "./config_feed.ts";
import { computeClaimDelay } from "./claim_rules.ts";
import {
  LAST_ANSWER_MS,
  NO_OWNER_RETRY_MS,
  SHUTDOWN_GRACE_MS,
  TASK_LEASE_MS,
} from "./constants.ts";
import { Election, type ElectionHost, type Ownership } from "./election.ts";
import { OwnerGateway } from "./owner_gateway.ts";
import { OwnerRole } from "./owner_role.ts";
import type {
  AdviceService,
  EndpointControl,
  EndpointVms,
  SiteRecords,
} from "./ports.ts";
import {
  type OwnerRecord,
  type OwnershipEnd,
  OwnershipEndCause,
} from "./types.ts";

/** The dependencies and settings of a `SchedulerNode`. */
export interface SchedulerParts {
  settings: SchedulerSettings;
  store: KeyValueStore;
  /** Returns when a call to the store failed last, by the steady clock in ms. */
  getStoreFailedAt: () => number;
  records: SiteRecords;
  control: EndpointControl;
  advice: AdviceService;
  vms?: EndpointVms;
  clock: Clock;
  random: Random;
  log: EventLog;
  metrics: Metrics;
  /** Id of this process, different for each start. */
  incarnation: string;
}

/** One entry of a cell: serves callers, and runs the cell while it owns it. */
export class SchedulerNode implements ElectionHost {
  readonly parts: SchedulerParts;
  readonly callerService: CallerService;
  readonly config: ConfigFeed;
  readonly gateway: OwnerGateway;
  readonly #election: Election;
  readonly #linkServer: LinkServer;
  readonly #cores: number;
  #ownerRole: OwnerRole | undefined;
  /** Speed of the largest VM that the owner has named, in cores. */
  #largestCores = 0;
  #isStopping = false;

  constructor(parts: SchedulerParts) {
    this.parts = parts;
    const { settings, store, records, clock, log, random } = parts;
    const { name, address } = settings.vm;
    this.#cores = settings.vm.cpu_share * settings.vm.cores;
    const handlers = this.#createHandlers();
    this.config = new ConfigFeed({
      store,
      records,
      clock,
      wallNow: () => clock.readWallTime(),
      log,
    });
    this.config.onChanged = (config) => this.#ownerRole?.updateConfig(config);
    this.#linkServer = new LinkServer({ handlers, clock });
    this.#linkServer.onLost = (peer, reason) =>
      log.record(EventCode.PeerLost, { peer, reason });
    this.gateway = new OwnerGateway({
      clock,
      log,
      opener: {
        makeHeartbeat: () => ({
          entry: name,
          cores: this.config.isStoreReachable ? this.#cores : 0,
        }),
        onReply: ({ largestCores = 0, isReady = true, isStoreReachable }) => {
          this.#largestCores = largestCores;
          this.gateway.isOwnerAtStore = isStoreReachable === true;
          this.gateway.noteOwnerReady(isReady);
        },
      },
      localAddress: address,
      handlers,
      isLocalOwnerReady: () => this.#ownerRole?.isReady === true,
    });
    this.#election = new Election({
      store,
      clock,
      random,
      log,
      host: this,
      self: {
        entry: name,
        incarnation: parts.incarnation,
        ...settings.listen.advertise_peers ?? settings.listen.peers,
      },
      getClaimDelay: () => computeClaimDelay(this.#cores, this.#largestCores),
      isOwnerReachable: () => this.gateway.isLinked,
      isOwnerUnreachable: () => this.gateway.isOwnerUnreachable,
    });
    this.gateway.onOwnerProcessGone = (owner) =>
      this.#election.claimFromDeadOwner(owner);
    this.gateway.onOwnerUnreachable = () => this.#election.checkOwner();
    this.callerService = new CallerService({
      config: this.config,
      gateway: this.gateway,
      clock,
      log,
      random,
      metrics: parts.metrics,
      getKeyRevocationMs: () => this.parts.settings.bounds.key_revocation_ms,
      refusesLateSubmissions: () =>
        this.parts.settings.scheduling.admission === AdmissionName.Room,
    });
  }

  /** Listens for links from other entries, and starts the background loops. */
  async start(): Promise<void> {
    await this.#linkServer.listen(this.parts.settings.listen.peers);
    this.parts.log.record(EventCode.EntryStarted, {
      incarnation: this.parts.incarnation,
    });
    void this.config.run();
    void this.#election.run();
  }

  /** Returns whether requests can be served; the load balancer reads this. */
  isReady(): boolean {
    if (this.#isStopping || !this.config.config) return false;
    if (!this.callerService.canTrustKeys()) return false;
    return this.gateway.canReachOwner;
  }

  /** Begins a planned stop: releases the cell and never claims it again. */
  async beginStop(): Promise<void> {
    this.#isStopping = true;
    this.callerService.restrictAnswers(
      this.parts.clock.now() + SHUTDOWN_GRACE_MS + LAST_ANSWER_MS,
    );
    this.parts.log.record(EventCode.DrainStarted, {});
    try {
      await this.#ownerRole?.stop({ isPlanned: true });
    } catch (error) {
      this.handleUnexpectedError(error);
    }
    await this.#election.releaseOwnership();
  }

  /**
   * Handles an error that no caller caught. The process goes on; an owner leaves
   * the cell to another entry, which restores it from the store, because a
   * decision may have been applied in part.
   */
  handleUnexpectedError(error: unknown): void {
    this.parts.log.record(EventCode.InvariantBroken, {
      reason: String(error),
      stack: error instanceof Error ? error.stack : undefined,
      isOwner: this.#ownerRole !== undefined,
    });
    void this.#election.stepDown(
      "an unexpected error",
      OwnershipEndCause.Failed,
    );
  }

  /** Applies changed settings; new addresses take effect only at a restart. */
  adoptSettings(settings: SchedulerSettings): void {
    const { listen, vm } = this.parts.settings;
    const hasNewAddress = JSON.stringify({ listen, vm }) !==
      JSON.stringify({ listen: settings.listen, vm: settings.vm });
    this.parts.settings = { ...settings, listen, vm };
    this.parts.log.record(EventCode.SettingsReloaded, {
      bounds: settings.bounds,
      needsRestart: hasNewAddress,
    });
  }

  /** Stops the background loops and closes all links. */
  stop(): void {
    this.#election.stop();
    this.config.stop();
    this.gateway.close();
    this.#linkServer.close();
    this.parts.log.record(EventCode.EntryStopped, {});
  }

  handleOwnerChange(record: OwnerRecord | undefined): void {
    this.gateway.setOwner(record, false);
  }

  beginOwnership(ownership: Ownership): void {
    const { settings, ...parts } = this.parts;
    const role: OwnerRole = new OwnerRole(ownership, {
      ...parts,
      leaseMs: Math.min(TASK_LEASE_MS, settings.bounds.task_lease_ms),
      retentionMs: settings.bounds.ended_jobs_ms,
      endpointRecordsMs: settings.bounds.endpoint_records_ms,
      evacuationMs: settings.bounds.evacuation_ms,
      policies: settings.scheduling,
      maxHeldTasks: settings.limits.held_tasks,
      takeOverPauseMs: settings.vms.take_over_pause_ms,
      listLinks: () => this.#linkServer.listIdentified(),
      listUnresponsive: (since) => this.#linkServer.listUnresponsive(since),
      onIsolated: (reason) =>
        void this.#election.stepDown(reason, OwnershipEndCause.Isolated),
      cores: this.#cores,
      getLargestPeerCores: () => this.#linkServer.largestPeerCores,
      onReady: () => this.#sendReady(ownership.record.term),
      onHandover: (reason) => void this.#releaseCell(role, reason),
      getConfig: () => this.config.config,
      onDeposed: (reason) => this.#election.noteDeposed(reason),
    });
    this.#ownerRole = role;
    this.gateway.setOwner(ownership.record, true);
    void role.start();
  }

  endOwnership({ cause }: OwnershipEnd): void {
    this.parts.metrics.countEvent("ownerships_ended", { cause });
    const role = this.#ownerRole;
    this.#ownerRole = undefined;
    void role?.stop({ isPlanned: false });
    this.gateway.setOwner(undefined, false);
  }

  /**
   * Tells all linked entries that this owner serves callers now, so that the
   * requests that they hold need not ask.
   */
  #sendReady(term: number): void {
    this.gateway.releaseWaiting();
    for (const link of this.#linkServer.listIdentified()) {
      link.call("owner.ready", { term }, { timeoutMs: LINK_TIMEOUT_MS })
        // The answer to the next heartbeat says so too.
        .catch((error) =>
          this.parts.log.record(EventCode.PeerLost, {
            peer: link.peer,
            reason: String(error),
          })
        );
    }
  }

  /** Stores all decisions, then leaves the cell to another entry. */
  async #releaseCell(role: OwnerRole, reason: string): Promise<void> {
    await role.stop({ isPlanned: true });
    await this.#election.stepDown(reason);
  }

  /** Describes the state of this process for a dump. */
  describe(): Record<string, unknown> {
    const now = this.parts.clock.now();
    const cell = this.#ownerRole?.cell.state;
    return {
      entry: this.parts.settings.vm.name,
      incarnation: this.parts.incarnation,
      isReady: this.isReady(),
      owner: this.gateway.owner,
      configVersion: this.config.config?.version,
      configAgeMs: Math.round(this.config.measureAge(now)),
      links: this.#linkServer.listIdentified().map((link) => link.peer),
      advice: this.#ownerRole?.advice.describe(),
      upkeep: this.#ownerRole?.describeUpkeep(),
      evacuations: this.#ownerRole?.describeEvacuations(),
      cell: cell && {
        term: cell.term,
        jobs: cell.jobs.size,
        ended: cell.ended.size,
        unlocated: cell.unlocated.size,
        admission: describeAdmission(cell),
        ready: [...cell.ready].map((stage) => stage.name),
        waits: this.#ownerRole?.waits,
        runTimes: cell.runTimes.describe(now),
        leaving: describeLeaving(cell, now),
        suspects: describeTrials(cell, now),
        placement: describePlacement(cell, now),
        endpoints: [...cell.endpoints.values()].map((endpoint) => ({
          id: endpoint.info.id,
          isHeld: endpoint.hasAcceptedFence,
          used: endpoint.used,
          capacity: endpoint.info.capacity,
          runs: [...endpoint.runs.values()].map((run) => ({
            task: run.task,
            run: run.number,
            phase: run.phase,
            percent: run.percent,
            idleMs: Math.round(now - run.progressAt),
            repeats: run.gangStart?.repeats,
          })),
        })),
      },
    };
  }

  #createHandlers(): LinkHandlers {
    const { log, metrics } = this.parts;
    const getMax = () => this.parts.settings.limits.owner_calls;
    const calls = new CallLimit({ getMax, log, metrics });
    return {
      "link.heartbeat": () => ({
        largestCores: Math.max(this.#cores, this.#linkServer.largestPeerCores),
        isStoreReachable: this.config.isStoreReachable,
        isReady: this.#ownerRole?.isReady === true,
      }),
      "owner.ready": () => {
        this.gateway.noteOwnerReady(true);
        return true;
      },
      "job.submit": ({ job }) =>
        calls.run(async () =>
          await this.#ownerRole?.submit(job) ?? {
            admission: Admission.NotOwner,
            reason: "the entry that was asked does not own the cell",
            retryAfterMs: NO_OWNER_RETRY_MS,
          }
        ),
      "job.cancel": ({ id, organisation }) =>
        calls.run(async () =>
          await this.#ownerRole?.cancel(id, organisation) ??
            CancelReply.Unknown
        ),
      "job.find": ({ id, organisation }) => {
        const role = this.#requireOwnerRole();
        return role.find(id, organisation) ?? null;
      },
      "evacuation.list": () => this.#requireOwnerRole().describeEvacuations(),
      "queue.count": ({ queue }) =>
        this.#requireOwnerRole().cell.countWaiting(queue),
      "advice.ask": async ({ stage, endpoints, timeoutMs }) =>
        await this.parts.advice.ask({ stage, endpoints, timeoutMs }),
    };
  }

  #requireOwnerRole(): OwnerRole {
    if (this.#ownerRole?.isReady) return this.#ownerRole;
    throw new Error("this entry does not own the cell");
  }
}
